package place

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Describe says what decides about a need at the moment, for log lines: the floor that a replica must hold, and for
// each member its role, the work in flight and, for replicas, what it had applied and how far behind it is thought.
func (d *Scheduler) Describe(n SlotRequest) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	words := []string{fmt.Sprintf("waiting %d", len(d.waiting))}
	if n.AllowReplicas {
		words = append(words, "floor "+n.MinPosition.String())
	}
	members := make([]string, 0, len(d.members))
	for _, s := range d.members {
		members = append(members, d.describeMember(s, now.Sub(s.lag.lastContact)))
	}
	slices.Sort(members)
	return strings.Join(append(words, members...), "; ")
}

func (d *Scheduler) describeMember(s *memberState, heard time.Duration) string {
	word := fmt.Sprintf("%s in flight %d of %d connections %d of %d", s.target, s.inFlight, s.slots, s.heldConnections, s.maxConnections)
	if !s.usable {
		word += " unusable"
	}
	if s.target == d.primary {
		if d.primaryActive {
			return word + " primary"
		}
		return word + " primary closed"
	}
	return fmt.Sprintf("%s applied %s heard %s ago lag %s", word, s.lag.applied, heard.Round(time.Millisecond), s.lag.estimate.Round(time.Millisecond))
}
