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
	// controllerInterval is the time between two looks at the members.
	controllerInterval = 100 * time.Millisecond
	// maxContactAge is how long nothing may be heard of a member before it is asked for its status, which takes a slot.
	maxContactAge = 500 * time.Millisecond
	// expectedPromotionTime is how long a promotion usually takes to be in force, the election included; members take 600 to 1000 ms.
	expectedPromotionTime = 1300 * time.Millisecond
	// promoteCallTimeout bounds the call to promote.
	promoteCallTimeout = time.Second
	// promotionTimeout is how long a promotion may take before another attempt is made.
	promotionTimeout = 3 * time.Second
	// drainTimeout is how long a planned change of the primary waits for work in flight.
	drainTimeout = 600 * time.Millisecond
	// catchUpTimeout is how long a planned change of the primary waits for a replica to hold its whole log.
	catchUpTimeout = 700 * time.Millisecond
	// minAttemptTimeout is the shortest time after which a read is tried at another member; answers that take longer than
	// attemptFactor times the usual work are probably lost.
	minAttemptTimeout    = 150 * time.Millisecond
	attemptTimeoutFactor = 10
	// maxAttempts bounds the attempts at one statement.
	maxAttempts = 4
	// reservedMemberConnections is left of a member's connections for probes and for those of an earlier owner that the member has not
	// dropped yet.
	reservedMemberConnections = 2
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
	// RequestLogger receives what became of requests, so that many of these do not displace changes of belief.
	RequestLogger hclog.Logger
	// RefreshMembers asks for the members' entries to be read again soon.
	RefreshMembers func()
	// Witness returns an instance that reaches the member and sees it as primary of the term; nil asks nobody.
	Witness func(ctx context.Context, member routes.Member, term types.Term) (types.InstanceID, bool)
	// HandOver hands the database to the instance.
	HandOver func(ctx context.Context, to types.InstanceID)
}
