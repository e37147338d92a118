package peers

import (
	"sync"
	"sync/atomic"

	"turmericpulley/core/fleet"
)

// membershipView holds the newest membership that this instance knows, and the description of this instance.
type membershipView struct {
	members atomic.Pointer[fleet.Membership]
	self    atomic.Pointer[fleet.Instance]
	// writeMu serialises writers; readers take no lock.
	writeMu sync.Mutex
}

func newMembershipView(self fleet.Instance) *membershipView {
	v := &membershipView{}
	v.members.Store(&fleet.Membership{})
	v.self.Store(&self)
	return v
}

// current returns the newest known membership.
func (v *membershipView) current() fleet.Membership { return *v.members.Load() }

// localInstance returns the description of this instance.
func (v *membershipView) localInstance() fleet.Instance { return *v.self.Load() }

// install replaces the membership if the given one is newer, and reports whether it is.
func (v *membershipView) install(members fleet.Membership) bool {
	v.writeMu.Lock()
	defer v.writeMu.Unlock()
	if members.Revision <= v.current().Revision {
		return false
	}
	v.members.Store(&members)
	return true
}

// updateLocalInstance changes the description of this instance.
func (v *membershipView) updateLocalInstance(update func(self *fleet.Instance)) {
	v.writeMu.Lock()
	defer v.writeMu.Unlock()
	self := v.localInstance()
	update(&self)
	v.self.Store(&self)
}
