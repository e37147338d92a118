package pgsrv

import "sync/atomic"

// Counters counts what happened on the callers' listener.
type Counters struct {
	// Connections is the number of open connections.
	Connections atomic.Int64
	// Accepted counts connections that completed the start-up.
	Accepted atomic.Uint64
	// ConnectionsRefused counts connections that were refused at start-up.
	ConnectionsRefused atomic.Uint64
	// Transactions counts transactions that were opened at an owner.
	Transactions atomic.Uint64
	// ProtocolViolations counts connections that ended because of a malformed or oversized message.
	ProtocolViolations atomic.Uint64
	// CancelsSent counts cancel requests that reached an open transaction.
	CancelsSent atomic.Uint64
	// CancelsIgnored counts cancel requests with an unknown key.
	CancelsIgnored atomic.Uint64
	// UnknownOutcomes counts transactions whose outcome the caller was told is unknown.
	UnknownOutcomes atomic.Uint64
	// Abandoned counts transactions that were open when their caller disconnected.
	Abandoned atomic.Uint64
	// UnexpectedFrames counts frames that did not belong to the request they arrived for.
	UnexpectedFrames atomic.Uint64
	// SlowCallers counts connections that ended because the caller stopped reading.
	SlowCallers atomic.Uint64
	// Refusals counts refused transactions by kind.
	Refusals Refusals
}
