package peers

import (
	"context"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	// lateTick is how late a timer may be before the instance distrusts itself.
	lateTick = 100 * time.Millisecond
	// distrustSpan is how long it does so.
	distrustSpan = time.Second
)

// selfcheck notes when this process is too slow to judge others.
type selfcheck struct {
	started time.Time
	// late is the time from the start to the last late timer.
	late atomic.Int64
}

func newSelfcheck() *selfcheck {
	s := &selfcheck{started: time.Now()}
	s.late.Store(int64(-distrustSpan))
	return s
}

// ticked records by how much a timer was late.
func (s *selfcheck) ticked(lateness time.Duration) {
	if lateness > lateTick {
		s.late.Store(int64(time.Since(s.started)))
	}
}

// excuses reports whether an unanswered probe says more about this process than about its peer.
func (s *selfcheck) excuses(err error) bool {
	if time.Since(s.started)-time.Duration(s.late.Load()) < distrustSpan {
		return true
	}
	for _, local := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL} {
		if errors.Is(err, local) {
			return true
		}
	}
	return errors.Is(err, context.Canceled)
}
