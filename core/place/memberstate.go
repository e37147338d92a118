package place

import (
	"time"

	"turmericpulley/core/clock"
	"turmericpulley/core/types"
)

const (
	// extraInFlight is the number of statements that may wait at a member itself, so that a slot is not idle for a round trip.
	extraInFlight = 1
	// reservedConnections are not given to transactions, which hold a connection also while their callers send nothing.
	reservedConnections = 3
)

// memberState is the scheduler's state of one member.
type memberState struct {
	target types.TargetID
	// slots is the number of statements that the member runs at once, maxConnections the largest number of connections that it
	// takes from this owner.
	slots          int
	maxConnections int
	// sameDataCentre reports whether the member is in the owner's data centre.
	sameDataCentre bool
	// usable reports whether the member takes new statements, and usableUntil until when; zero means that there is no end.
	usable          bool
	usableUntil     clock.Moment
	inFlight        int
	heldConnections int
	// restingConnections is the number of those that transactions hold between their statements.
	restingConnections int
	connections        Connections
	lag                replicationLag
	health             health
}

// accepts reports whether the member has a slot and a connection for the statement now.
func (m *memberState) accepts(r SlotRequest) bool {
	if r.Pinned != "" {
		return m.inFlight < m.slots+extraInFlight
	}
	if !m.usable || m.inFlight >= m.slots+extraInFlight {
		return false
	}
	if r.BeginsTransaction && !m.mayBeginTransaction(r) {
		return false
	}
	return m.heldConnections < m.maxConnections && m.available(r) != ConnectionNone
}

// hasFreeSlotBeyond reports whether the member has a free slot besides the number of reserved ones.
func (m *memberState) hasFreeSlotBeyond(reserved int) bool {
	return m.inFlight < max(m.slots-reserved, 0)
}

// backlog estimates the total service time of the statements that must end before the member has a free slot for a new one.
func (m *memberState) backlog() time.Duration {
	return time.Duration(max(0, m.inFlight-m.slots+1)) * initialServiceTime
}
