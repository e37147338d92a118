package peers

import (
	"context"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	// maxTimerLateness is how late a timer may fire before the failed probes of this instance count as inconclusive.
	maxTimerLateness = 100 * time.Millisecond
	// unreliablePeriod is how long they count as inconclusive after a late timer.
	unreliablePeriod = time.Second
)

// localHealth detects when this process is too slow to conclude from a failed probe that another instance has failed.
type localHealth struct {
	startedAt time.Time
	// lastLate is the time from startedAt to the last late timer, in nanoseconds.
	lastLate atomic.Int64
}

func newLocalHealth() *localHealth {
	h := &localHealth{startedAt: time.Now()}
	h.lastLate.Store(int64(-unreliablePeriod))
	return h
}

// recordLateness records by how much a timer was late.
func (h *localHealth) recordLateness(lateness time.Duration) {
	if lateness > maxTimerLateness {
		h.lastLate.Store(int64(time.Since(h.startedAt)))
	}
}

// isLocalFailure reports whether a failed probe may be due to this process: a timer was late recently, a local resource
// such as file descriptors is exhausted, or the probe was cancelled.
func (h *localHealth) isLocalFailure(err error) bool {
	if time.Since(h.startedAt)-time.Duration(h.lastLate.Load()) < unreliablePeriod {
		return true
	}
	for _, local := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL} {
		if errors.Is(err, local) {
			return true
		}
	}
	return errors.Is(err, context.Canceled)
}
