package load

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const progressInterval = time.Second

// progress writes a status line of the run each second.
type progress struct {
	stop       chan struct{}
	goroutines sync.WaitGroup
}

// newProgress starts to write status lines, unless the writer is nil.
func newProgress(out io.Writer, rec *recorder) *progress {
	p := &progress{stop: make(chan struct{})}
	if out == nil {
		return p
	}
	start := time.Now()
	p.goroutines.Go(func() {
		ticker := time.NewTicker(progressInterval)
		defer ticker.Stop()
		for {
			select {
			case <-p.stop:
				_, _ = fmt.Fprintln(out)
				return
			case <-ticker.C:
				_, _ = fmt.Fprint(out, progressLine(time.Since(start), rec.snapshot()))
			}
		}
	})
	return p
}

func progressLine(elapsed time.Duration, t totals) string {
	return fmt.Sprintf("\r%4.0f s  %d requests, %d acknowledged (%d writes), %d refused, %d unknown ",
		elapsed.Seconds(), t.requests, t.acknowledged, t.acknowledgedWrites, t.refused, t.unknown)
}

// Close writes a line break, if there is a writer, and waits for the goroutine to end.
func (p *progress) Close() {
	close(p.stop)
	p.goroutines.Wait()
}
