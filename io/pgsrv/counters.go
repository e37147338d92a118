package pgsrv

import "sync/atomic"

// Counters holds the counters of the callers' listener.
type Counters struct {
	// Connections is the number of open connections.
	Connections atomic.Int64
	// Accepted counts connections that completed the start-up.
	Accepted atomic.Uint64
	// ConnectionsRefused counts connections that were refused at start-up.
	ConnectionsRefused atomic.Uint64
	// Transactions counts transactions that were opened on a stream to an owner.
	Transactions atomic.Uint64
	// ProtocolViolations counts connections that ended because of a malformed or oversized message.
	ProtocolViolations atomic.Uint64
	// CancelsSent counts cancel requests that were sent to the owner of an open transaction.
	CancelsSent atomic.Uint64
	// CancelsIgnored counts cancel requests with an unknown key.
	CancelsIgnored atomic.Uint64
	// UnknownOutcomes counts transactions that ended with the error that their outcome is unknown.
	UnknownOutcomes atomic.Uint64
	// Abandoned counts transactions that were open when their caller disconnected or a write to it failed.
	Abandoned atomic.Uint64
	// UnexpectedFrames counts frames of owners for another request or with an unexpected answer.
	UnexpectedFrames atomic.Uint64
	// SlowCallers counts connections that ended because the caller stopped reading.
	SlowCallers atomic.Uint64
	// Refusals counts refused transactions and connections by kind of fault.
	Refusals Refusals
}
