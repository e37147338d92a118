package group

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"

	"turmericpulley/core/acct"
	"turmericpulley/core/clock"
	"turmericpulley/core/fleet"
	"turmericpulley/core/routes"
	"turmericpulley/core/types"
)

const (
	// probeTimeout bounds the opening of a connection for a query of a member, and then the query. Members answer in about
	// 15 ms, and in 100 ms when they are slow.
	probeTimeout = 350 * time.Millisecond
	// controllerInterval is the time between two checks by the failover controller.
	controllerInterval = 100 * time.Millisecond
	// maxContactAge is how old the last contact with a member may be before its status is queried, which takes a slot.
	maxContactAge = 500 * time.Millisecond
	// expectedPromotionTime is how long it usually takes to elect and promote a member; the promotion alone takes members
	// 600 to 1000 ms.
	expectedPromotionTime = 1300 * time.Millisecond
	// promoteCallTimeout bounds the promotion call.
	promoteCallTimeout = time.Second
	// promotionTimeout is how long a promotion may take before the next attempt.
	promotionTimeout = 3 * time.Second
	// drainTimeout is how long a switchover waits for the work in flight.
	drainTimeout = 600 * time.Millisecond
	// catchUpTimeout is how long a switchover waits for a replica to receive the whole log of the old primary.
	catchUpTimeout = 700 * time.Millisecond
	// minAttemptTimeout is the shortest time after which a retryable request is retried on another member. A reply that takes
	// longer than attemptTimeoutFactor times the expected service time is probably lost.
	minAttemptTimeout    = 150 * time.Millisecond
	attemptTimeoutFactor = 10
	// maxAttempts bounds the attempts to run one statement.
	maxAttempts = 4
	// reservedMemberConnections is the number of each member's connections that are left free for probes, and for connections
	// of an earlier owner that the member has not closed yet.
	reservedMemberConnections = 2
)

// Settings configure a group.
type Settings struct {
	Database types.DatabaseID
	Self     fleet.Instance
	// MaxConnections is the largest number of connections that each member accepts.
	MaxConnections int
	// SyncReplicas is the number of replicas that hold a commit before it is acknowledged.
	SyncReplicas int
	Dialer       Dialer
	Promoter     Promoter
	Ownership    Ownership
	Clock        clock.Clock
	Logger       hclog.Logger
	// RequestLogger logs the outcomes of requests, so that many of these lines do not displace the changes of state that
	// Logger logs.
	RequestLogger hclog.Logger
	// Limiter counts the operations of client accounts; nil limits none.
	Limiter Limiter
	// Accounts returns the client accounts of the configuration, or nil when it has none; a nil Accounts does so as well.
	Accounts func() *acct.Directory
	// Counters count unexpected answers of members.
	Counters *Counters
	// RefreshMembers requests a new read of the members' entries and does not wait for it.
	RefreshMembers func()
	// Witnesses returns the instances that reach the member and find it to be the primary of the term or a later one, in the order
	// in which they answer; it closes the channel, which holds all of them, when each has answered. With a nil Witnesses no instance
	// is asked.
	Witnesses func(ctx context.Context, member routes.Member, term types.Term) <-chan types.InstanceID
	// HandOver hands the database over to the instance, and reports whether that instance could take it.
	HandOver func(ctx context.Context, to types.InstanceID) bool
}

// Limiter counts the operations of client accounts against their limits.
type Limiter interface {
	// Take takes one operation. When it reports false the account is over its limit, and may come back after the duration.
	Take(account types.AccountID) (time.Duration, bool)
	// Return gives back an operation that was taken and has not reached a member.
	Return(account types.AccountID)
}
