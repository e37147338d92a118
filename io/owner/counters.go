package owner

import "sync/atomic"

// Counters count events of all owners of an instance since its start.
type Counters struct {
	// ReplicaReads counts transactions answered by replicas.
	ReplicaReads atomic.Int64
	// PrimaryTransactions counts transactions answered by primaries.
	PrimaryTransactions atomic.Int64
	// Refusals counts transactions that the owner answered with a fault of known outcome. Most of them did not run.
	Refusals atomic.Int64
	// UnknownOutcomes counts transactions whose outcome is unknown.
	UnknownOutcomes atomic.Int64
	// Retries counts attempts on further replicas after the first one.
	Retries atomic.Int64
	// Promotions counts primaries promoted.
	Promotions atomic.Int64
	// Claims counts ownerships started.
	Claims atomic.Int64
	// Losses counts ownerships lost to another owner. An ownership that this instance closes itself may be counted too.
	Losses atomic.Int64
	// Dials counts connections opened to targets.
	Dials atomic.Int64
	// BrokenConns counts connections closed because their state was unknown.
	BrokenConns atomic.Int64
	// UnresponsiveConns counts connections without an answer although the target no longer ran a statement for them.
	UnresponsiveConns atomic.Int64
	// MisplacedAnswers counts connections closed because an answer on them did not belong to the request.
	MisplacedAnswers atomic.Int64
	// ConfirmedAfterPromotion counts unconfirmed writes that a promotion kept, so that the new term confirms them.
	ConfirmedAfterPromotion atomic.Int64
	// DiscardedEntries counts unacknowledged log entries that former primaries discarded on their return.
	DiscardedEntries atomic.Int64
	// RepeatedRequests counts requests whose request key was already recorded by an earlier run.
	RepeatedRequests atomic.Int64
	// MonitorCalls counts calls made to watch members.
	MonitorCalls atomic.Int64
}
