package place

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Describe says what decides about a need at the moment, for log lines: the floor that a replica must hold, and for
// each member its role, the work in flight and, for replicas, what it had applied and how far behind it is thought.
func (d *Desk) Describe(n Need) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	words := []string{fmt.Sprintf("waiting %d", len(d.waiting))}
	if n.Replicas {
		words = append(words, "floor "+n.Floor.String())
	}
	members := make([]string, 0, len(d.seats))
	for _, s := range d.seats {
		members = append(members, d.describeSeat(s, now.Sub(s.lag.heard)))
	}
	slices.Sort(members)
	return strings.Join(append(words, members...), "; ")
}

func (d *Desk) describeSeat(s *seat, heard time.Duration) string {
	word := fmt.Sprintf("%s in flight %d of %d connections %d of %d", s.target, s.busy, s.slots, s.held, s.connections)
	if !s.usable {
		word += " unusable"
	}
	if s.target == d.primary {
		if d.open {
			return word + " primary"
		}
		return word + " primary closed"
	}
	return fmt.Sprintf("%s applied %s heard %s ago lag %s", word, s.lag.applied, heard.Round(time.Millisecond), s.lag.estimate.Round(time.Millisecond))
}
