package owner

import "sync/atomic"

// Counters count what owners did since the instance started.
type Counters struct {
	// ReplicaReads counts transactions answered by replicas.
	ReplicaReads atomic.Int64
	// PrimaryTransactions counts transactions answered by primaries.
	PrimaryTransactions atomic.Int64
	// Refusals counts transactions refused before they ran.
	Refusals atomic.Int64
	// UnknownOutcomes counts transactions whose outcome is unknown.
	UnknownOutcomes atomic.Int64
	// Retries counts attempts after the first.
	Retries atomic.Int64
	// Promotions counts primaries promoted.
	Promotions atomic.Int64
	// Claims counts databases taken over.
	Claims atomic.Int64
	// Losses counts databases lost to another owner.
	Losses atomic.Int64
	// Dials counts connections opened to targets.
	Dials atomic.Int64
	// BrokenConns counts connections thrown away because their state was in doubt.
	BrokenConns atomic.Int64
	// UnresponsiveConns counts connections that went silent although the target had nothing left to do for them.
	UnresponsiveConns atomic.Int64
	// ConfirmedAfterPromotion counts writes confirmed after a promotion that kept them.
	ConfirmedAfterPromotion atomic.Int64
	// DiscardedEntries counts unacknowledged log entries that returning primaries gave up.
	DiscardedEntries atomic.Int64
	// RepeatedRequests counts requests answered from the record of their request key.
	RepeatedRequests atomic.Int64
	// MonitorCalls counts calls made to watch members.
	MonitorCalls atomic.Int64
}
