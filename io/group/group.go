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
	settings Settings
	logger   hclog.Logger
	requests hclog.Logger
	desk     *place.Desk
	budget   *retry.Budget
	kicks    chan struct{}
	cancel   context.CancelFunc
	running  sync.WaitGroup
	// retired groups neither watch nor replace the primary.
	retired atomic.Bool

	mu        sync.Mutex
	members   []routes.Member
	pools     map[types.TargetID]*pool
	unusable  map[types.TargetID]bool
	suspected types.TargetID
	primary   types.TargetID
	term      types.Term
	// acknowledged is the newest position that came with an acknowledged commit.
	acknowledged types.LogPosition
}

// New starts to serve the database; Close ends it.
func New(s Settings) *Group {
	ctx, cancel := context.WithCancel(context.Background())
	g := &Group{
		settings: s, logger: s.Logger.With("database", s.Database),
		requests: s.Requests.With("database", s.Database), desk: place.NewDesk(s.Clock),
		budget: retry.NewBudget(), kicks: make(chan struct{}, 1), cancel: cancel,
		pools: map[types.TargetID]*pool{}, unusable: map[types.TargetID]bool{},
	}
	g.desk.Shut(probeTimeout)
	steward := &steward{group: g}
	g.running.Go(func() { steward.run(ctx) })
	return g
}

// Close refuses what waits and closes all connections.
func (g *Group) Close() {
	g.desk.Close()
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

// Retire refuses new work but lets open transactions end. The members' connections and their primary are the next owner's.
func (g *Group) Retire() {
	g.retired.Store(true)
	g.desk.Retire()
	g.mu.Lock()
	pools := slices.Collect(maps.Values(g.pools))
	g.mu.Unlock()
	for _, p := range pools {
		p.retire()
	}
}

// connections returns the most connections that are kept to a member.
func (g *Group) connections() int { return max(1, g.settings.MaxConnections-spareMemberConnections) }

// Primary returns the primary and its data centre; false when there is none at work.
func (g *Group) Primary() (routes.Member, bool) {
	target, open := g.desk.Primary()
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
			p.update(m)
		} else {
			g.pools[m.Target] = newPool(g.settings.Dialer, m, g.connections())
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
		p.condemn()
	}
	if changed {
		g.logger.Info("members changed", "members", describe(members))
		g.seat()
		g.kick()
	}
}

// seat tells the desk which members take new work.
func (g *Group) seat() {
	g.mu.Lock()
	defer g.mu.Unlock()
	seats := make([]place.Member, 0, len(g.members))
	for _, m := range g.members {
		seats = append(seats, place.Member{
			Target:      m.Target,
			Slots:       m.Slots,
			Connections: g.connections(),
			Near:        m.DataCentre == g.settings.Self.DataCentre,
			Usable:      !g.unusable[m.Target] && (!m.Leaving || m.Target == g.primary),
		})
	}
	g.desk.SetMembers(seats)
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
		g.seat()
	}
}

// suspect notes that the member did not answer properly; the steward looks at it soon.
func (g *Group) suspect(target types.TargetID) {
	g.mu.Lock()
	g.suspected = target
	g.mu.Unlock()
	g.kick()
}

// acknowledge notes the position of a commit before its caller hears of it.
func (g *Group) acknowledge(position types.LogPosition) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.acknowledged = g.acknowledged.Max(position)
}

// currentTerm returns the term of the primary that was opened last; zero before the first.
func (g *Group) currentTerm() types.Term {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.term
}

func (g *Group) kick() {
	select {
	case g.kicks <- struct{}{}:
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

func (g *Group) list() []routes.Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.members)
}

func describe(members []routes.Member) []string {
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
