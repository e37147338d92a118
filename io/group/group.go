package group

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"turmericpulley/core/place"
	"turmericpulley/core/retry"
	"turmericpulley/core/routes"
	"turmericpulley/core/types"
)

// Group runs the statements of all sessions on the members of one database.
type Group struct {
	settings      Settings
	logger        hclog.Logger
	requestLogger hclog.Logger
	scheduler     *place.Scheduler
	retryBudget   *retry.Budget
	wakeups       chan struct{}
	cancel        context.CancelFunc
	goroutines    sync.WaitGroup
	// While draining is set, the group neither monitors its members nor replaces the primary.
	draining atomic.Bool
	// behindShare is the number of statements that waited behind others for their account's share, up to the last log line. Only the
	// failover controller uses it.
	behindShare int64

	mu      sync.Mutex
	members []routes.Member
	// pools are those of the listed members, and of others that have connections in use or were the primary last.
	pools map[types.TargetID]*pool
	// unusable are the replicas whose last status query failed although they were not busy. suspected are the members that the
	// failover controller is to check.
	unusable  map[types.TargetID]bool
	suspected map[types.TargetID]bool
	// primary is the last member that became the active primary, and term its term.
	primary types.TargetID
	term    types.Term
	// acknowledgedPosition is the highest log position of an acknowledged commit.
	acknowledgedPosition types.LogPosition
}

// New starts serving the database; Close stops it.
func New(s Settings) *Group {
	ctx, cancel := context.WithCancel(context.Background())
	g := &Group{
		settings: s, logger: s.Logger.With("database", s.Database),
		requestLogger: s.RequestLogger.With("database", s.Database), scheduler: place.NewScheduler(s.Clock),
		retryBudget: retry.NewBudget(), wakeups: make(chan struct{}, 1), cancel: cancel,
		pools: map[types.TargetID]*pool{}, unusable: map[types.TargetID]bool{}, suspected: map[types.TargetID]bool{},
	}
	g.scheduler.SuspendPrimary(probeTimeout)
	controller := &failoverController{group: g}
	g.goroutines.Go(func() { controller.run(ctx) })
	w := &warmer{group: g}
	g.goroutines.Go(func() { w.run(ctx) })
	return g
}

// Close refuses the waiting statements and closes all connections.
func (g *Group) Close() {
	g.scheduler.Close()
	g.cancel()
	g.goroutines.Wait()
	g.mu.Lock()
	pools := g.pools
	g.pools = map[types.TargetID]*pool{}
	g.mu.Unlock()
	for _, p := range pools {
		p.close()
	}
}

// Drain refuses new statements but lets open transactions end. It frees the members' connections for the next owner, which
// alone may replace the primary from then on.
func (g *Group) Drain() {
	g.draining.Store(true)
	g.scheduler.Drain()
	g.mu.Lock()
	pools := slices.Collect(maps.Values(g.pools))
	g.mu.Unlock()
	for _, p := range pools {
		p.drain()
	}
}

// IsIdle reports whether no connection to a member is in use: no statement runs and no transaction is open.
func (g *Group) IsIdle() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range g.pools {
		if p.isInUse() {
			return false
		}
	}
	return true
}

// maxMemberConnections returns how many connections the group keeps to a member at most.
func (g *Group) maxMemberConnections() int {
	return max(1, g.settings.MaxConnections-reservedMemberConnections)
}

// Primary returns the entry of the primary; false when no primary is active.
func (g *Group) Primary() (routes.Member, bool) {
	target, active := g.scheduler.Primary()
	m, found := g.member(target)
	return m, active && found
}

// SetMembers replaces the members by their newest entries.
func (g *Group) SetMembers(members []routes.Member) {
	g.mu.Lock()
	changed := !slices.Equal(g.members, members)
	g.members = members
	listed := make(map[types.TargetID]bool, len(members))
	for _, m := range members {
		listed[m.Target] = true
		if p := g.pools[m.Target]; p != nil {
			p.updateMember(m)
		} else {
			g.pools[m.Target] = newPool(g.settings, m, g.maxMemberConnections())
		}
	}
	// The connections of open transactions to a member that is no longer listed still count: they have to be closed before another
	// member takes over from it.
	for target, p := range g.pools {
		if listed[target] {
			continue
		}
		p.retire()
		if target != g.primary && p.closeUnused() {
			delete(g.pools, target)
		}
	}
	g.mu.Unlock()
	if changed {
		g.logger.Info("members changed", "members", describeMembers(members))
		g.updateScheduler()
		g.wakeController()
	}
}

// mayUse reports whether the member may get new statements: it is listed, and stays or has not been leaving for too long.
func (g *Group) mayUse(target types.TargetID) bool {
	m, listed := g.member(target)
	return listed && (!m.Leaving || g.settings.Clock.Now() < m.UsableUntil)
}

// isActivePrimary reports whether statements for the primary may be sent to the member.
func (g *Group) isActivePrimary(target types.TargetID) bool {
	primary, active := g.scheduler.Primary()
	return active && primary == target
}

// closePrimaryConns closes all connections to the member that is replaced as the primary, and to the one that was active last.
// Statements that are sent later find that neither is the active primary.
func (g *Group) closePrimaryConns(old types.TargetID) {
	g.mu.Lock()
	former, last := g.pools[old], g.pools[g.primary]
	g.mu.Unlock()
	for _, p := range []*pool{former, last} {
		if p != nil {
			p.closeAll()
		}
	}
}

// lastEntry returns the entry of a member that is listed or was the primary last.
func (g *Group) lastEntry(target types.TargetID) (routes.Member, bool) {
	if p := g.pool(target); p != nil {
		return p.currentMember(), true
	}
	return routes.Member{}, false
}

// updateScheduler passes the members to the scheduler and says which of them take new statements.
func (g *Group) updateScheduler() {
	g.mu.Lock()
	defer g.mu.Unlock()
	members := make([]place.Member, 0, len(g.members))
	for _, m := range g.members {
		members = append(members, place.Member{
			Target:         m.Target,
			Slots:          m.Slots,
			MaxConnections: g.maxMemberConnections(),
			SameDataCentre: m.DataCentre == g.settings.Self.DataCentre,
			Usable:         !g.unusable[m.Target] && (!m.Leaving || m.Target == g.primary && m.UsableUntil != 0),
			UsableUntil:    m.UsableUntil,
			Connections:    g.pools[m.Target],
		})
	}
	g.scheduler.SetMembers(members)
}

// setUsable records whether a member answers, and updates the scheduler when that changed.
func (g *Group) setUsable(target types.TargetID, usable bool, reason string) {
	g.mu.Lock()
	changed := g.unusable[target] == usable
	if usable {
		delete(g.unusable, target)
	} else {
		g.unusable[target] = true
	}
	g.mu.Unlock()
	if changed {
		g.logger.Info("member usability changed", "member", target, "usable", usable, "reason", reason)
		g.updateScheduler()
	}
}

// suspect records that the member did not answer properly, and wakes the failover controller to check it.
func (g *Group) suspect(target types.TargetID) {
	g.mu.Lock()
	g.suspected[target] = true
	g.mu.Unlock()
	g.wakeController()
}

// slowReplyTime returns the time after which a reply to a statement of the class is probably lost.
func (g *Group) slowReplyTime(class place.Class) time.Duration {
	return max(minAttemptTimeout, attemptTimeoutFactor*g.scheduler.ExpectedServiceTime(class))
}

// suspectLater has the member checked when the returned timer is not stopped before the reply to a statement of the class is late, or
// the connection for it. A write that may not be repeated waits for its reply until its deadline; the check, over a new connection, finds
// out meanwhile whether the member is still reached.
func (g *Group) suspectLater(target types.TargetID, class place.Class) *time.Timer {
	return time.AfterFunc(g.slowReplyTime(class), func() { g.suspect(target) })
}

// recordCommit records the position of a commit before its caller gets the reply.
func (g *Group) recordCommit(position types.LogPosition) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.acknowledgedPosition = g.acknowledgedPosition.Max(position)
}

// lastAcknowledged returns the highest log position of an acknowledged commit.
func (g *Group) lastAcknowledged() types.LogPosition {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.acknowledgedPosition
}

// currentTerm returns the term of the last primary that became active; zero before the first.
func (g *Group) currentTerm() types.Term {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.term
}

func (g *Group) wakeController() {
	select {
	case g.wakeups <- struct{}{}:
	default:
	}
}

func (g *Group) pool(target types.TargetID) *pool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.pools[target]
}

func (g *Group) member(target types.TargetID) (routes.Member, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, m := range g.members {
		if m.Target == target {
			return m, true
		}
	}
	return routes.Member{}, false
}

func (g *Group) listMembers() []routes.Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.members)
}

func describeMembers(members []routes.Member) []string {
	descriptions := make([]string, 0, len(members))
	for _, m := range members {
		description := string(m.Target) + "@" + m.Address
		if m.Leaving {
			description += " leaving"
		}
		descriptions = append(descriptions, description)
	}
	return descriptions
}
