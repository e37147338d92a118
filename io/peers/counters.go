package peers

import "sync/atomic"

// Counters count the activity of a Service or Transport since its start.
type Counters struct {
	// Heartbeats counts heartbeats that got a response, including those of probes.
	Heartbeats atomic.Uint64
	// HeartbeatsMissed counts heartbeats without a response in time.
	HeartbeatsMissed atomic.Uint64
	// Probes counts heartbeats over new connections.
	Probes atomic.Uint64
	// ProbesFailed counts probes without a response of the probed incarnation in time.
	ProbesFailed atomic.Uint64
	// ProbesInconclusive counts failed probes that did not count against the peer because this process itself was slow or
	// short of resources.
	ProbesInconclusive atomic.Uint64
	// Suspicions counts instances that became suspected.
	Suspicions atomic.Uint64
	// FailureReports counts failure reports that this instance handled as a proposer, including its own.
	FailureReports atomic.Uint64
	// Removals counts instances that this one removed from the membership, after a failure or when they left.
	Removals atomic.Uint64
	// JoinAttempts counts attempts to join or to rejoin the membership.
	JoinAttempts atomic.Uint64
	// MembershipWrites counts writes of the membership to the store.
	MembershipWrites atomic.Uint64
	// MembershipConflicts counts writes of the membership that failed because another instance had written it first.
	MembershipConflicts atomic.Uint64
	// StoreCalls counts calls to the store.
	StoreCalls atomic.Uint64
	// StoreFailures counts calls to the store that failed.
	StoreFailures atomic.Uint64
	// SessionsDialled counts connections opened to other instances.
	SessionsDialled atomic.Uint64
	// SessionsReplaced counts connections that were replaced because they did not respond: idle ones that did not
	// answer a ping, and ones over which nothing arrived while a probe over a new connection succeeded. It also counts a
	// probe's connection that is kept because no other one was open.
	SessionsReplaced atomic.Uint64
	// SessionsUnresponsive counts connections in use that were closed because nothing arrived any more, not even the
	// response to a ping.
	SessionsUnresponsive atomic.Uint64
	// ProtocolViolations counts malformed or oversized messages.
	ProtocolViolations atomic.Uint64
	// RequestMismatches counts frames that carried the id of another request.
	RequestMismatches atomic.Uint64
	// StreamsOpened counts transactions forwarded to other instances.
	StreamsOpened atomic.Uint64
	// StreamsServed counts transactions received from other instances.
	StreamsServed atomic.Uint64
	// Pushes counts attempts to push a change to another instance.
	Pushes atomic.Uint64
	// PushesDropped counts changes that were not pushed because the queue was full. The other instances fetch them when a
	// heartbeat shows a newer revision.
	PushesDropped atomic.Uint64
	// Fetches counts requests for documents that this instance did not have.
	Fetches atomic.Uint64
	// BytesSent counts bytes written to other instances.
	BytesSent atomic.Uint64
	// BytesReceived counts bytes read from other instances.
	BytesReceived atomic.Uint64
}
