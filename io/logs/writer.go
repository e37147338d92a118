package logs

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// ringLines is the number of lines that may wait; at 300 bytes a line they take 300 KB.
	ringLines = 1024
	// gatherPause collects lines into one write.
	gatherPause = 20 * time.Millisecond
	// writeBytes is the size of a write at which no further lines are collected.
	writeBytes = 32 << 10
)

// Writer passes lines to another writer from a goroutine of its own. Lines that find the ring full are dropped and
// counted, and the count is written when there is room again.
type Writer struct {
	out     io.Writer
	ring    chan []byte
	dropped atomic.Int64
	total   atomic.Int64
	stop    chan struct{}
	running sync.WaitGroup
}

// New returns a writer whose lines go to out; Close writes what is left.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, ring: make(chan []byte, ringLines), stop: make(chan struct{})}
	w.running.Go(w.run)
	return w
}

// Write queues a copy of the line and never waits or fails.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.ring <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
		w.total.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped.
func (w *Writer) Dropped() int64 { return w.total.Load() }

// Close writes the lines that wait and ends the goroutine.
func (w *Writer) Close() {
	close(w.stop)
	w.running.Wait()
}

func (w *Writer) run() {
	var batch []byte
	for {
		select {
		case line := <-w.ring:
			batch = append(batch[:0], line...)
		case <-w.stop:
			w.flush(batch[:0])
			return
		}
		w.gather()
		w.flush(batch)
	}
}

// gather waits a moment for further lines, unless the instance is to end.
func (w *Writer) gather() {
	timer := time.NewTimer(gatherPause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-w.stop:
	}
}

// flush writes the batch with the lines that wait.
func (w *Writer) flush(batch []byte) {
	for {
		for len(batch) < writeBytes && len(w.ring) > 0 {
			batch = append(batch, <-w.ring...)
		}
		if n := w.dropped.Swap(0); n > 0 {
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
