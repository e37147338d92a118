package peers

import (
	"sync"
	"sync/atomic"

	"turmericpulley/core/fleet"
)

// roster holds the newest membership that the instance knows, and who the instance is.
type roster struct {
	members atomic.Pointer[fleet.Membership]
	self    atomic.Pointer[fleet.Instance]
	// installing serialises writers.
	installing sync.Mutex
}

func newRoster(self fleet.Instance) *roster {
	r := &roster{}
	r.members.Store(&fleet.Membership{})
	r.self.Store(&self)
	return r
}

// current returns the membership.
func (r *roster) current() fleet.Membership { return *r.members.Load() }

// own returns the description of this instance.
func (r *roster) own() fleet.Instance { return *r.self.Load() }

// install takes a newer membership and reports whether it was newer.
func (r *roster) install(members fleet.Membership) bool {
	r.installing.Lock()
	defer r.installing.Unlock()
	if members.Revision <= r.current().Revision {
		return false
	}
	r.members.Store(&members)
	return true
}

// change replaces the description of this instance.
func (r *roster) change(update func(self *fleet.Instance)) {
	r.installing.Lock()
	defer r.installing.Unlock()
	self := r.own()
	update(&self)
	r.self.Store(&self)
}
