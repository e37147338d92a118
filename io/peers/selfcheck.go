package peers

import (
	"context"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	// maxTimerLateness is how late a timer may be before the instance distrusts itself.
	maxTimerLateness = 100 * time.Millisecond
	// unreliablePeriod is how long it does so.
	unreliablePeriod = time.Second
)

// localHealth notes when this process is too slow to judge others.
type localHealth struct {
	startedAt time.Time
	// lastLate is the time from the start to the last late timer.
	lastLate atomic.Int64
}

func newLocalHealth() *localHealth {
	s := &localHealth{startedAt: time.Now()}
	s.lastLate.Store(int64(-unreliablePeriod))
	return s
}

// recordLateness records by how much a timer was late.
func (s *localHealth) recordLateness(lateness time.Duration) {
	if lateness > maxTimerLateness {
		s.lastLate.Store(int64(time.Since(s.startedAt)))
	}
}

// isLocalFailure reports whether an unanswered probe says more about this process than about its peer.
func (s *localHealth) isLocalFailure(err error) bool {
	if time.Since(s.startedAt)-time.Duration(s.lastLate.Load()) < unreliablePeriod {
		return true
	}
	for _, local := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL} {
		if errors.Is(err, local) {
			return true
		}
	}
	return errors.Is(err, context.Canceled)
}
