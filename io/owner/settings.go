package owner

import (
	"time"

	"github.com/hashicorp/go-hclog"

	"turmericpulley/core/budget"
	"turmericpulley/core/class"
	"turmericpulley/core/policy"
	"turmericpulley/core/trace"
	"turmericpulley/core/types"
)

// Settings describe one database and the epoch under which it is owned.
type Settings struct {
	Group    policy.Group
	Database policy.Database
	Epoch    types.Epoch
	// HandedOver is the handover of the previous owner; zero when it gave none.
	HandedOver Handover
	// IsLeaving reports whether the platform lists a member as leaving; nil means that none is.
	IsLeaving func(types.TargetID) bool
	// Resolve maps a member's address to the address to dial; nil means that both are the same.
	Resolve func(address string) string
	// Writes holds the hashes of the statements that only a primary can run.
	Writes   *class.WriteSet
	Counters *Counters
	// RecordPromotion is called after each promotion with the time without a primary before it; it may be nil.
	RecordPromotion func(gap time.Duration)
	// RecordQueueWait is called with the time that a customer's transaction waited for a connection; it may be nil.
	RecordQueueWait func(customer types.AccountID, waited time.Duration)
	// Recorder stores the trace of each request.
	Recorder *trace.Recorder
	// Budget counts what answers hold until they are confirmed; nil counts nothing.
	Budget *budget.Pool
	Logger hclog.Logger
}

const (
	// reservedConnections are not used by transactions: one is for the monitor, one for control calls.
	reservedConnections = 2

	dialTimeout    = 300 * time.Millisecond
	controlTimeout = 400 * time.Millisecond
	// maxWatchDuration bounds how long a member waits for a change before it answers a watch call.
	maxWatchDuration = 100 * time.Millisecond
	// watchAnswerMargin is how much later than maxWatchDuration the answer may arrive.
	watchAnswerMargin = 400 * time.Millisecond

	monitorRetryMin = 25 * time.Millisecond
	monitorRetryMax = 200 * time.Millisecond
	// failuresUntilDown is the number of successive connection attempts without a successful watch call after which a member is
	// marked down.
	failuresUntilDown = 2

	controllerInterval = 25 * time.Millisecond
	// firstPrimaryTimeout is how long a new owner waits for a member to report as primary before it promotes one.
	firstPrimaryTimeout = 300 * time.Millisecond
	// partitionedPrimaryTimeout is how long a majority of members may have no replication stream from a primary that the owner
	// reaches; then the primary is replaced.
	partitionedPrimaryTimeout = 1500 * time.Millisecond
	minPromotionInterval      = 100 * time.Millisecond
	minRepointInterval        = 250 * time.Millisecond
	switchoverTimeout         = 5 * time.Second
	pruneInterval             = 200 * time.Millisecond

	// commitStallTimeout is how long writes may wait without any confirmation before new primary transactions are refused.
	commitStallTimeout = 2 * time.Second

	// relayChunkBytes is the size of held messages above which a part of an answer is sent to the caller.
	relayChunkBytes = 32 << 10
	// maxReplayBytes bounds how much of a replica's answer is held; up to it the request can still run on another member.
	maxReplayBytes = 256 << 10
	// maxHeldBytes bounds the part of an answer that is held from a command's completion to its confirmation.
	maxHeldBytes = 16 << 20

	frameQueueLength = 8
)
