package logs

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// queueLines is the maximum number of queued lines; at 300 bytes a line they take 300 KB.
	queueLines = 1024
	// queueBytes is the maximum size of the queued lines together.
	queueBytes = 1 << 20
	// batchDelay is the wait for further lines before a write, so that one write takes many lines.
	batchDelay = 20 * time.Millisecond
	// batchBytes is the size at which no further line is added to a batch.
	batchBytes = 32 << 10
)

// Writer queues lines and writes them to another writer from a goroutine of its own. Lines that arrive while the queue is
// full are dropped and counted; the count is written as a line once the output takes lines again.
type Writer struct {
	out   io.Writer
	queue chan []byte
	// queuedBytes is the size of the lines in the queue.
	queuedBytes atomic.Int64
	// unreportedDrops is the number of dropped lines that no written line has reported yet.
	unreportedDrops atomic.Int64
	totalDrops      atomic.Int64
	stop            chan struct{}
	goroutines      sync.WaitGroup
}

// New returns a writer that writes its lines to out; Close writes the lines that are still queued.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, queue: make(chan []byte, queueLines), stop: make(chan struct{})}
	w.goroutines.Go(w.run)
	return w
}

// Write queues a copy of the line, or drops the line when the queue is full; it never waits or fails.
func (w *Writer) Write(line []byte) (int, error) {
	size := int64(len(line))
	if w.queuedBytes.Add(size) <= queueBytes {
		select {
		case w.queue <- append([]byte(nil), line...):
			return len(line), nil
		default:
		}
	}
	w.queuedBytes.Add(-size)
	w.unreportedDrops.Add(1)
	w.totalDrops.Add(1)
	return len(line), nil
}

// Dropped returns the number of lines that were dropped since the start.
func (w *Writer) Dropped() int64 { return w.totalDrops.Load() }

// Close writes the queued lines and stops the goroutine.
func (w *Writer) Close() {
	close(w.stop)
	w.goroutines.Wait()
}

func (w *Writer) run() {
	var batch []byte
	for {
		select {
		case line := <-w.queue:
			batch = w.appendQueued(batch[:0], line)
		case <-w.stop:
			w.flush(batch[:0])
			return
		}
		w.waitForBatch()
		w.flush(batch)
	}
}

// appendQueued appends a line from the queue to the batch.
func (w *Writer) appendQueued(batch, line []byte) []byte {
	w.queuedBytes.Add(-int64(len(line)))
	return append(batch, line...)
}

// waitForBatch waits batchDelay for further lines, or until the writer is closed.
func (w *Writer) waitForBatch() {
	timer := time.NewTimer(batchDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-w.stop:
	}
}

// flush writes the batch together with all queued lines and with the number of lines dropped since the last report.
func (w *Writer) flush(batch []byte) {
	for {
		for len(batch) < batchBytes && len(w.queue) > 0 {
			batch = w.appendQueued(batch, <-w.queue)
		}
		if n := w.unreportedDrops.Swap(0); n > 0 {
			batch = fmt.Appendf(batch, `{"@level":"warn","@message":"log lines dropped","lines":%d}`+"\n", n)
		}
		if len(batch) == 0 {
			return
		}
		// There is no other output to which a failed write could be reported.
		_, _ = w.out.Write(batch)
		batch = batch[:0]
	}
}
