package place

import (
	"time"

	"turmericpulley/core/clock"
	"turmericpulley/core/types"
)

const (
	// openingLoad is what the opening of a connection counts when members are compared, in statements in flight: the opening takes a slot
	// about as long as a short statement, and closes a connection that another account opens again.
	openingLoad = 2
	// connectionRetryInterval is the time after which a statement that found no connection asks again, if none is returned before.
	connectionRetryInterval = 20 * time.Millisecond
	// restingPart bounds the connections that open transactions of client accounts hold to one in so many. A connection that rests serves
	// no other account.
	restingPart = 2
)

// Availability says whether a member has a connection for a statement.
type Availability int

const (
	// ConnectionFree means that an idle connection of the account is there, or that the account does not matter.
	ConnectionFree Availability = iota
	// ConnectionOpens means that one has to be opened.
	ConnectionOpens
	// ConnectionNone means that none can be opened at the moment, or that one of the account will be returned before that is worth it.
	ConnectionNone
)

// String returns a word for log lines.
func (a Availability) String() string {
	return [...]string{"free", "to be opened", "not to be had"}[a]
}

// Connections knows the connections to one member.
type Connections interface {
	// Available is called while the scheduler's lock is held and must not call the scheduler.
	Available(account types.AccountID) Availability
}

// available returns whether the member has a connection for the statement.
func (m *memberState) available(r SlotRequest) Availability {
	if m.connections == nil || r.Pinned != "" {
		return ConnectionFree
	}
	return m.connections.Available(r.Account)
}

// load returns the statements in flight at the member, with the opening of a connection if the statement needs one.
func (m *memberState) load(r SlotRequest) int {
	if r.Account != "" && m.available(r) == ConnectionOpens {
		return m.inFlight + openingLoad
	}
	return m.inFlight
}

// mayBeginTransaction reports whether a transaction may hold another connection of the member.
func (m *memberState) mayBeginTransaction(r SlotRequest) bool {
	if r.Account != "" && m.restingConnections >= max(1, m.maxConnections/restingPart) {
		return false
	}
	return m.heldConnections < m.maxConnections-reservedConnections
}

// scheduleConnectionRetry returns the moment for the next dispatch for statements that find no connection; zero when there is none.
func (s *Scheduler) scheduleConnectionRetry(now clock.Moment) clock.Moment {
	for _, w := range s.waiting {
		for _, m := range s.members {
			if m.usable && m.hasFreeSlotBeyond(0) && m.available(w.request) == ConnectionNone {
				return now.Add(connectionRetryInterval)
			}
		}
	}
	return 0
}
