package place

import (
	"time"

	"turmericpulley/core/types"
)

const (
	// extraInFlight is the work that may wait at a member itself, so that a slot is not idle for a round trip.
	extraInFlight = 1
	// reservedConnections are kept from transactions, which hold a connection while their callers think.
	reservedConnections = 3
)

// memberState is one member as the desk sees it.
type memberState struct {
	target types.TargetID
	// slots is the work that the member runs at once, connections the most that it takes from this owner.
	slots          int
	maxConnections int
	// sameDataCentre tells that the member is in the owner's data centre.
	sameDataCentre bool
	// usable members take new work.
	usable          bool
	inFlight        int
	heldConnections int
	lag             replicationLag
	health          health
}

// accepts reports whether the seat takes the need now.
func (s *memberState) accepts(n SlotRequest) bool {
	if n.Pinned != "" {
		return s.inFlight < s.slots+extraInFlight
	}
	if !s.usable || s.inFlight >= s.slots+extraInFlight {
		return false
	}
	if n.BeginsTransaction {
		return s.heldConnections < s.maxConnections-reservedConnections
	}
	return s.heldConnections < s.maxConnections
}

// hasFreeSlotBeyond reports whether the seat has a slot beyond those kept for others.
func (s *memberState) hasFreeSlotBeyond(kept int) bool { return s.inFlight < max(s.slots-kept, 0) }

// backlog is the work at the member that a new statement waits for until a slot is free.
func (s *memberState) backlog() time.Duration {
	return time.Duration(max(0, s.inFlight-s.slots+1)) * initialServiceTime
}
