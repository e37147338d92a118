package peers

import "sync/atomic"

// Counters count what the service did since its start.
type Counters struct {
	// Heartbeats counts heartbeats that were answered.
	Heartbeats atomic.Uint64
	// HeartbeatsMissed counts heartbeats without an answer in time.
	HeartbeatsMissed atomic.Uint64
	// Probes counts heartbeats over fresh connections.
	Probes atomic.Uint64
	// ProbesFailed counts probes without an answer in time.
	ProbesFailed atomic.Uint64
	// ProbesInconclusive counts failed probes that were not held against the peer because this process was slow or short of
	// resources itself.
	ProbesInconclusive atomic.Uint64
	// Suspicions counts instances that became suspected.
	Suspicions atomic.Uint64
	// FailureReports counts failure reports received.
	FailureReports atomic.Uint64
	// Removals counts instances that this one took out of the membership, after a failure or at their wish.
	Removals atomic.Uint64
	// JoinAttempts counts attempts to join or to join again.
	JoinAttempts atomic.Uint64
	// MembershipWrites counts writes of the membership to the store.
	MembershipWrites atomic.Uint64
	// MembershipConflicts counts writes of the membership that another instance forestalled.
	MembershipConflicts atomic.Uint64
	// StoreCalls counts calls to the store.
	StoreCalls atomic.Uint64
	// StoreFailures counts calls to the store that failed.
	StoreFailures atomic.Uint64
	// SessionsDialled counts connections opened to other instances.
	SessionsDialled atomic.Uint64
	// SessionsReplaced counts silent connections that were replaced because a fresh one worked.
	SessionsReplaced atomic.Uint64
	// SessionsUnresponsive counts connections in use that were closed because nothing arrived any more.
	SessionsUnresponsive atomic.Uint64
	// ProtocolViolations counts malformed or oversized messages.
	ProtocolViolations atomic.Uint64
	// RequestMismatches counts frames that carried the id of another request.
	RequestMismatches atomic.Uint64
	// StreamsOpened counts transactions forwarded to other instances.
	StreamsOpened atomic.Uint64
	// StreamsServed counts transactions received from other instances.
	StreamsServed atomic.Uint64
	// Pushes counts changes sent to other instances.
	Pushes atomic.Uint64
	// PushesDropped counts changes left to the exchange of revisions because the queue was full.
	PushesDropped atomic.Uint64
	// Fetches counts requests for documents that this instance lacked.
	Fetches atomic.Uint64
	// BytesSent counts bytes written to other instances.
	BytesSent atomic.Uint64
	// BytesReceived counts bytes read from other instances.
	BytesReceived atomic.Uint64
}
