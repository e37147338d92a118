package group

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"

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
	running       sync.WaitGroup
	// draining groups neither watch nor replace the primary.
	draining atomic.Bool

	mu        sync.Mutex
	members   []routes.Member
	pools     map[types.TargetID]*pool
	unusable  map[types.TargetID]bool
	suspected types.TargetID
	primary   types.TargetID
	term      types.Term
	// acknowledgedPosition is the newest position that came with an acknowledged commit.
	acknowledgedPosition types.LogPosition
}

// New starts to serve the database; Close ends it.
func New(s Settings) *Group {
	ctx, cancel := context.WithCancel(context.Background())
	g := &Group{
		settings: s, logger: s.Logger.With("database", s.Database),
		requestLogger: s.RequestLogger.With("database", s.Database), scheduler: place.NewScheduler(s.Clock),
		retryBudget: retry.NewBudget(), wakeups: make(chan struct{}, 1), cancel: cancel,
		pools: map[types.TargetID]*pool{}, unusable: map[types.TargetID]bool{},
	}
	g.scheduler.SuspendPrimary(probeTimeout)
	steward := &failoverController{group: g}
	g.running.Go(func() { steward.run(ctx) })
	return g
}

// Close refuses what waits and closes all connections.
func (g *Group) Close() {
	g.scheduler.Close()
	g.cancel()
	g.running.Wait()
	g.mu.Lock()
	pools := g.pools
	g.pools = map[types.TargetID]*pool{}
	g.mu.Unlock()
	for _, p := range pools {
		p.close()
	}
}

// Drain refuses new work but lets open transactions end. The members' connections and their primary are the next owner's.
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

// maxMemberConnections returns the most connections that are kept to a member.
func (g *Group) maxMemberConnections() int {
	return max(1, g.settings.MaxConnections-reservedMemberConnections)
}

// Primary returns the primary and its data centre; false when there is none at work.
func (g *Group) Primary() (routes.Member, bool) {
	target, open := g.scheduler.Primary()
	m, found := g.member(target)
	return m, open && found
}

// SetMembers takes the members' newest entries.
func (g *Group) SetMembers(members []routes.Member) {
	g.mu.Lock()
	changed := !slices.Equal(g.members, members)
	g.members = members
	var gone []*pool
	present := make(map[types.TargetID]bool, len(members))
	for _, m := range members {
		present[m.Target] = true
		if p := g.pools[m.Target]; p != nil {
			p.updateMember(m)
		} else {
			g.pools[m.Target] = newPool(g.settings.Dialer, m, g.maxMemberConnections())
		}
	}
	for target, p := range g.pools {
		if !present[target] {
			gone = append(gone, p)
			delete(g.pools, target)
		}
	}
	g.mu.Unlock()
	for _, p := range gone {
		p.closeIdle()
	}
	if changed {
		g.logger.Info("members changed", "members", describeMembers(members))
		g.updateScheduler()
		g.wakeController()
	}
}

// updateScheduler tells the desk which members take new work.
func (g *Group) updateScheduler() {
	g.mu.Lock()
	defer g.mu.Unlock()
	seats := make([]place.Member, 0, len(g.members))
	for _, m := range g.members {
		seats = append(seats, place.Member{
			Target:         m.Target,
			Slots:          m.Slots,
			MaxConnections: g.maxMemberConnections(),
			SameDataCentre: m.DataCentre == g.settings.Self.DataCentre,
			Usable:         !g.unusable[m.Target] && (!m.Leaving || m.Target == g.primary),
		})
	}
	g.scheduler.SetMembers(seats)
}

// setUsable tells whether a member answers.
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
		g.logger.Info("member usable changed", "member", target, "usable", usable, "reason", reason)
		g.updateScheduler()
	}
}

// suspect notes that the member did not answer properly; the steward looks at it soon.
func (g *Group) suspect(target types.TargetID) {
	g.mu.Lock()
	g.suspected = target
	g.mu.Unlock()
	g.wakeController()
}

// recordCommit notes the position of a commit before its caller hears of it.
func (g *Group) recordCommit(position types.LogPosition) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.acknowledgedPosition = g.acknowledgedPosition.Max(position)
}

// currentTerm returns the term of the primary that was opened last; zero before the first.
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
	words := make([]string, 0, len(members))
	for _, m := range members {
		word := string(m.Target) + "@" + m.Address
		if m.Leaving {
			word += " leaving"
		}
		words = append(words, word)
	}
	return words
}
