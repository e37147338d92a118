package node

import (
	"sync"
	"time"

	"turmericpulley/core/fleet"
	"turmericpulley/core/types"
)

// unresponsiveLimit is how long the standby is tried first, before the owner, once the owner has not answered.
const unresponsiveLimit = 2 * time.Second

// unresponsive records which instances have not answered recently. It is safe for concurrent use.
type unresponsive struct {
	mu   sync.Mutex
	last map[types.InstanceID]time.Time
}

func newUnresponsive() *unresponsive { return &unresponsive{last: map[types.InstanceID]time.Time{}} }

// record records that the instance could not be reached or did not answer.
func (u *unresponsive) record(id types.InstanceID) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.last[id] = time.Now()
}

// putLast returns the instances with those that were recorded recently after all others. Entries of machines that are gone stay in the
// store, and a handover has no time to wait for each of them again.
func (u *unresponsive) putLast(instances []fleet.Instance) []fleet.Instance {
	sorted := make([]fleet.Instance, 0, len(instances))
	var last []fleet.Instance
	for _, i := range instances {
		if u.recently(i.ID) {
			last = append(last, i)
		} else {
			sorted = append(sorted, i)
		}
	}
	return append(sorted, last...)
}

// clear forgets all recorded instances. It is called when an instance answers that it is not the owner. A standby that is not
// acting answers so, and the owner must then be tried first again.
func (u *unresponsive) clear() {
	u.mu.Lock()
	defer u.mu.Unlock()
	clear(u.last)
}

// recently reports whether the instance was recorded within unresponsiveLimit.
func (u *unresponsive) recently(id types.InstanceID) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	at, recorded := u.last[id]
	return recorded && time.Since(at) < unresponsiveLimit
}
