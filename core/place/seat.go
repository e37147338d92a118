package place

import (
	"time"

	"turmericpulley/core/types"
)

const (
	// extraInFlight is the work that may wait at a member itself, so that a slot is not idle for a round trip.
	extraInFlight = 1
	// spareConnections are kept from transactions, which hold a connection while their callers think.
	spareConnections = 3
)

// seat is one member as the desk sees it.
type seat struct {
	target types.TargetID
	// slots is the work that the member runs at once, connections the most that it takes from this owner.
	slots       int
	connections int
	// near tells that the member is in the owner's data centre.
	near bool
	// usable members take new work.
	usable bool
	busy   int
	held   int
	lag    lag
	health health
}

// room reports whether the seat takes the need now.
func (s *seat) room(n Need) bool {
	if n.Pinned != "" {
		return s.busy < s.slots+extraInFlight
	}
	if !s.usable || s.busy >= s.slots+extraInFlight {
		return false
	}
	if n.Opens {
		return s.held < s.connections-spareConnections
	}
	return s.held < s.connections
}

// spare reports whether the seat has a slot beyond those kept for others.
func (s *seat) spare(kept int) bool { return s.busy < max(s.slots-kept, 0) }

// backlog is the work at the member that a new statement waits for until a slot is free.
func (s *seat) backlog() time.Duration { return time.Duration(max(0, s.busy-s.slots+1)) * initialWork }
