package peers

import (
	"sync"
	"time"
)

// deadline closes a channel at a time that can be changed.
type deadline struct {
	mu      sync.Mutex
	timer   *time.Timer
	expired chan struct{}
}

func newDeadline() *deadline { return &deadline{expired: make(chan struct{})} }

// set changes the time; the zero time means never.
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
	expired := d.expired
	if wait := time.Until(at); wait > 0 {
		d.timer = time.AfterFunc(wait, func() { close(expired) })
		return
	}
	close(expired)
}

// done returns the channel that is closed at the time that is currently set.
func (d *deadline) done() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.expired
}
