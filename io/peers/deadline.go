package peers

import (
	"sync"
	"time"
)

// deadline closes a channel when a settable time has come.
type deadline struct {
	mu      sync.Mutex
	timer   *time.Timer
	expired chan struct{}
}

func newDeadline() *deadline { return &deadline{expired: make(chan struct{})} }

// set changes the time; zero means never.
func (d *deadline) set(at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.timer != nil && !d.timer.Stop() {
		<-d.expired
	}
	d.timer = nil
	select {
	case <-d.expired:
		d.expired = make(chan struct{})
	default:
	}
	if at.IsZero() {
		return
	}
	passed := d.expired
	if wait := time.Until(at); wait > 0 {
		d.timer = time.AfterFunc(wait, func() { close(passed) })
		return
	}
	close(passed)
}

// done returns the channel that is closed when the time has come.
func (d *deadline) done() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.expired
}
