package peers

import (
	"sync"
	"sync/atomic"

	"turmericpulley/core/fleet"
)

// membershipView holds the newest membership that the instance knows, and who the instance is.
type membershipView struct {
	members atomic.Pointer[fleet.Membership]
	self    atomic.Pointer[fleet.Instance]
	// writeMu serialises writers.
	writeMu sync.Mutex
}

func newMembershipView(self fleet.Instance) *membershipView {
	r := &membershipView{}
	r.members.Store(&fleet.Membership{})
	r.self.Store(&self)
	return r
}

// current returns the membership.
func (r *membershipView) current() fleet.Membership { return *r.members.Load() }

// localInstance returns the description of this instance.
func (r *membershipView) localInstance() fleet.Instance { return *r.self.Load() }

// install takes a newer membership and reports whether it was newer.
func (r *membershipView) install(members fleet.Membership) bool {
	r.writeMu.Lock()
	defer r.writeMu.Unlock()
	if members.Revision <= r.current().Revision {
		return false
	}
	r.members.Store(&members)
	return true
}

// updateLocalInstance replaces the description of this instance.
func (r *membershipView) updateLocalInstance(update func(self *fleet.Instance)) {
	r.writeMu.Lock()
	defer r.writeMu.Unlock()
	self := r.localInstance()
	update(&self)
	r.self.Store(&self)
}
