package owner

import (
	"time"

	"github.com/hashicorp/go-hclog"

	"turmericpulley/core/class"
	"turmericpulley/core/policy"
	"turmericpulley/core/trace"
	"turmericpulley/core/types"
)

// Settings describe one database and the right to own it.
type Settings struct {
	Group    policy.Group
	Database policy.Database
	Epoch    types.Epoch
	// HandedOver is what the previous owner said when it stopped; zero when none did.
	HandedOver Handover
	// IsLeaving reports whether the platform lists a member as leaving; nil means none.
	IsLeaving func(types.TargetID) bool
	// Resolve maps a member's address to the one to dial; nil means the same.
	Resolve  func(address string) string
	Writes   *class.WriteSet
	Counters *Counters
	// RecordPromotion is told of each promotion and of the time without a primary before it; nil tells nobody.
	RecordPromotion func(gap time.Duration)
	// RecordQueueWait is told how long a customer's transaction waited for a connection; nil tells nobody.
	RecordQueueWait func(customer types.CustomerID, waited time.Duration)
	// Recorder keeps what happened to each request.
	Recorder *trace.Recorder
	Logger   hclog.Logger
}

const (
	// reservedConnections are kept free of transactions: one for the monitor, one for control calls.
	reservedConnections = 2

	dialTimeout    = 300 * time.Millisecond
	controlTimeout = 400 * time.Millisecond
	// maxWatchDuration is how long a member may hold a watch call.
	maxWatchDuration = 100 * time.Millisecond
	// watchAnswerMargin is how much later than that its answer may come.
	watchAnswerMargin = 400 * time.Millisecond

	monitorRetryMin = 25 * time.Millisecond
	monitorRetryMax = 200 * time.Millisecond
	// failuresUntilDown is the number of failed fresh connections that mark a member down.
	failuresUntilDown = 2

	controllerInterval = 25 * time.Millisecond
	// firstPrimaryTimeout is how long a new owner lets a primary report itself before it promotes another.
	firstPrimaryTimeout = 300 * time.Millisecond
	// partitionedPrimaryTimeout is how long a primary may be unheard by its replicas before it is replaced.
	partitionedPrimaryTimeout = 1500 * time.Millisecond
	minPromotionInterval      = 100 * time.Millisecond
	minRepointInterval        = 250 * time.Millisecond
	switchoverTimeout         = 5 * time.Second
	pruneInterval             = 200 * time.Millisecond

	// commitStallTimeout is the age of the oldest unconfirmed write above which new primary work is refused.
	commitStallTimeout = 2 * time.Second

	relayChunkBytes = 32 << 10
	// maxReplayBytes bounds how much of a replica's answer is held so that the request can still run elsewhere.
	maxReplayBytes = 256 << 10
	// maxHeldBytes bounds what is held between a command's completion and its confirmation.
	maxHeldBytes = 16 << 20

	frameQueueLength = 8
)
