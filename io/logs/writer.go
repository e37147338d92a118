package logs

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// queueLines is the number of lines that may wait; at 300 bytes a line they take 300 KB.
	queueLines = 1024
	// batchDelay collects lines into one write.
	batchDelay = 20 * time.Millisecond
	// batchBytes is the size of a write at which no further lines are collected.
	batchBytes = 32 << 10
)

// Writer passes lines to another writer from a goroutine of its own. Lines that find the ring full are dropped and
// counted, and the count is written when there is room again.
type Writer struct {
	out             io.Writer
	queue           chan []byte
	unreportedDrops atomic.Int64
	totalDrops      atomic.Int64
	stop            chan struct{}
	goroutines      sync.WaitGroup
}

// New returns a writer whose lines go to out; Close writes what is left.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, queue: make(chan []byte, queueLines), stop: make(chan struct{})}
	w.goroutines.Go(w.run)
	return w
}

// Write queues a copy of the line and never waits or fails.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.queue <- append([]byte(nil), line...):
	default:
		w.unreportedDrops.Add(1)
		w.totalDrops.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped.
func (w *Writer) Dropped() int64 { return w.totalDrops.Load() }

// Close writes the lines that wait and ends the goroutine.
func (w *Writer) Close() {
	close(w.stop)
	w.goroutines.Wait()
}

func (w *Writer) run() {
	var batch []byte
	for {
		select {
		case line := <-w.queue:
			batch = append(batch[:0], line...)
		case <-w.stop:
			w.flush(batch[:0])
			return
		}
		w.waitForBatch()
		w.flush(batch)
	}
}

// waitForBatch waits a moment for further lines, unless the instance is to end.
func (w *Writer) waitForBatch() {
	timer := time.NewTimer(batchDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-w.stop:
	}
}

// flush writes the batch with the lines that wait.
func (w *Writer) flush(batch []byte) {
	for {
		for len(batch) < batchBytes && len(w.queue) > 0 {
			batch = append(batch, <-w.queue...)
		}
		if n := w.unreportedDrops.Swap(0); n > 0 {
			batch = fmt.Appendf(batch, `{"@level":"warn","@message":"log lines dropped","lines":%d}`+"\n", n)
		}
		if len(batch) == 0 {
			return
		}
		// Nobody is left to tell when the standard output fails.
		_, _ = w.out.Write(batch)
		batch = batch[:0]
	}
}
