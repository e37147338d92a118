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
	// Leaving reports whether the platform lists a member as leaving; nil means none.
	Leaving func(types.TargetID) bool
	// Resolve maps a member's address to the one to dial; nil means the same.
	Resolve  func(address string) string
	Writes   *class.WriteSet
	Counters *Counters
	// Promoted is told of each promotion and of the time without a primary before it; nil tells nobody.
	Promoted func(gap time.Duration)
	// Queued is told how long a customer's transaction waited for a connection; nil tells nobody.
	Queued func(customer types.CustomerID, waited time.Duration)
	// Recorder keeps what happened to each request.
	Recorder *trace.Recorder
	Logger   hclog.Logger
}

const (
	// reservedConnections are kept free of transactions: one for the monitor, one for control calls.
	reservedConnections = 2

	dialTimeout    = 300 * time.Millisecond
	controlTimeout = 400 * time.Millisecond
	// watchPeriod is how long a member may hold a watch call.
	watchPeriod = 100 * time.Millisecond
	// watchGrace is how much later than that its answer may come.
	watchGrace = 400 * time.Millisecond

	monitorRetryMin = 25 * time.Millisecond
	monitorRetryMax = 200 * time.Millisecond
	// failuresUntilDown is the number of failed fresh connections that mark a member down.
	failuresUntilDown = 2

	conductorPeriod = 25 * time.Millisecond
	// firstPrimaryWait is how long a new owner lets a primary report itself before it promotes another.
	firstPrimaryWait = 300 * time.Millisecond
	// cutPrimaryWait is how long a primary may be unheard by its replicas before it is replaced.
	cutPrimaryWait  = 1500 * time.Millisecond
	promotionPause  = 100 * time.Millisecond
	followPause     = 250 * time.Millisecond
	switchoverLimit = 5 * time.Second
	floorsPeriod    = 200 * time.Millisecond

	// behindLimit is the age of the oldest unconfirmed write above which new primary work is refused.
	behindLimit = 2 * time.Second

	frameBytes = 32 << 10
	// replayBytes bounds how much of a replica's answer is held so that the request can still run elsewhere.
	replayBytes = 256 << 10
	// heldBytes bounds what is held between a command's completion and its confirmation.
	heldBytes = 16 << 20

	frameRing = 8
)
