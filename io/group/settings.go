package group

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"

	"turmericpulley/core/clock"
	"turmericpulley/core/fleet"
	"turmericpulley/core/routes"
	"turmericpulley/core/types"
)

const (
	// probeTimeout bounds a question to a member over a fresh connection; members answer in some 15 ms, and 100 ms when
	// they are slow.
	probeTimeout = 350 * time.Millisecond
	// stewardInterval is the time between two looks at the members.
	stewardInterval = 100 * time.Millisecond
	// quietLimit is how long nothing may be heard of a member before it is asked for its status, which takes a slot.
	quietLimit = 500 * time.Millisecond
	// promoteWait is how long a promotion usually takes to be in force, the election included; members take 600 to 1000 ms.
	promoteWait = 1300 * time.Millisecond
	// promoteCallTimeout bounds the call to promote.
	promoteCallTimeout = time.Second
	// promoteLimit is how long a promotion may take before another attempt is made.
	promoteLimit = 3 * time.Second
	// drainWait is how long a planned change of the primary waits for work in flight.
	drainWait = 600 * time.Millisecond
	// catchUpWait is how long a planned change of the primary waits for a replica to hold its whole log.
	catchUpWait = 700 * time.Millisecond
	// minAttempt is the shortest time after which a read is tried at another member; answers that take longer than
	// attemptFactor times the usual work are probably lost.
	minAttempt    = 150 * time.Millisecond
	attemptFactor = 10
	// maxAttempts bounds the attempts at one statement.
	maxAttempts = 4
	// spareMemberConnections is left of a member's connections for probes and for those of an earlier owner that the member has not
	// dropped yet.
	spareMemberConnections = 2
)

// Settings are what a group is made from.
type Settings struct {
	Database types.DatabaseID
	Self     fleet.Instance
	// MaxConnections is the most connections that each member takes.
	MaxConnections int
	// SyncReplicas is the number of replicas that hold a commit before it is acknowledged.
	SyncReplicas int
	Dialer       Dialer
	Promoter     Promoter
	Ownership    Ownership
	Clock        clock.Clock
	Logger       hclog.Logger
	// Requests receives what became of requests, so that many of these do not displace changes of belief.
	Requests hclog.Logger
	// Refresh asks for the members' entries to be read again soon.
	Refresh func()
	// Witness returns an instance that reaches the member and sees it as primary of the term; nil asks nobody.
	Witness func(ctx context.Context, member routes.Member, term types.Term) (types.InstanceID, bool)
	// Yield hands the database to the instance.
	Yield func(ctx context.Context, to types.InstanceID)
}
