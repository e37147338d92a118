package place

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Describe returns, for log lines, the state on which the choice of a member for the statement depends: the number of waiters, the load of
// those that had to wait, the minimum position for replicas, and for each member its role, statements in flight and connections. For a
// replica it adds the position that it had applied at the last contact and its estimated lag.
func (s *Scheduler) Describe(r SlotRequest) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	parts := []string{fmt.Sprintf("waiting %d", len(s.waiting)), fmt.Sprintf("load %.1f slots", s.load.value.valueAt(now, loadTimeConstant))}
	if a := s.shares.accounts[r.Account]; a != nil && a.over {
		parts = append(parts, "account over its share")
	}
	if r.AllowReplicas {
		parts = append(parts, "floor "+r.MinPosition.String())
	}
	members := make([]string, 0, len(s.members))
	for _, m := range s.members {
		members = append(members, s.describeMember(m, r, now.Sub(m.lag.lastContact)))
	}
	slices.Sort(members)
	return strings.Join(append(parts, members...), "; ")
}

func (s *Scheduler) describeMember(m *memberState, r SlotRequest, sinceContact time.Duration) string {
	text := fmt.Sprintf("%s in flight %d of %d connections %d of %d", m.target, m.inFlight, m.slots, m.heldConnections, m.maxConnections)
	if a := m.available(r); a != ConnectionFree {
		text += " connection of the account " + a.String()
	}
	if !m.usable {
		text += " unusable"
	}
	if m.target == s.primary {
		if s.primaryActive {
			return text + " primary"
		}
		return text + " primary suspended"
	}
	return fmt.Sprintf("%s applied %s last contact %s ago lag %s", text, m.lag.applied, sinceContact.Round(time.Millisecond), m.lag.estimate.Round(time.Millisecond))
}
