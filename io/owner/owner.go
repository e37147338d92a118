package owner

import (
	"context"
	"slices"
	"sync"
	"time"

	"turmericpulley/core/admit"
	"turmericpulley/core/policy"
	"turmericpulley/core/quorum"
	"turmericpulley/core/reads"
	"turmericpulley/core/retry"
	"turmericpulley/core/types"
)

// Owner runs the transactions of one database and orders its promotions.
type Owner struct {
	settings Settings
	members  map[types.TargetID]*member
	state    *state
	floors   *reads.MinPositions
	rates    *admit.RateLimiter
	budget   *retry.Budget

	// checking lets one watch for silence at a time use a control connection.
	checking sync.Mutex

	stop context.CancelFunc
	// duties are the goroutines that Close waits for.
	duties   sync.WaitGroup
	mu       sync.Mutex
	inFlight int
	draining bool
	released bool
	handover Handover
	idle     chan struct{}
}

// New claims the members of a database and starts to watch them.
func New(s Settings) *Owner {
	ctx, stop := context.WithCancel(context.Background())
	o := &Owner{
		settings: s,
		members:  map[types.TargetID]*member{},
		state:    newState(s.Epoch, s.Database.Majority()),
		floors:   reads.NewMinPositions(0),
		rates:    admit.NewRateLimiter(),
		budget:   retry.NewBudget(),
		stop:     stop,
		idle:     make(chan struct{}),
	}
	s.Counters.Claims.Add(1)
	for _, info := range s.Database.Members {
		m := &member{info: info, pool: newPool(s.Group.Connections-reservedConnections, dialSettings(s, info), s.Counters)}
		m.pool.queued = s.Queued
		o.members[info.Target] = m
	}
	for _, m := range o.members {
		o.duties.Go(func() { o.monitor(ctx, m) })
	}
	c := &conductor{owner: o, lastFollow: map[types.TargetID]time.Time{}}
	o.duties.Go(func() { c.run(ctx) })
	o.duties.Go(func() { o.closeWhenLost(ctx) })
	o.duties.Go(func() { o.sweep(ctx) })
	return o
}

// Database returns the id of the database.
func (o *Owner) Database() types.DatabaseID { return o.settings.Database.Database }

// Describes reports whether the owner was made for just this group and database.
func (o *Owner) Describes(group policy.Group, database policy.Database) bool {
	return o.settings.Group.Slots == group.Slots && o.settings.Group.Connections == group.Connections &&
		slices.Equal(o.settings.Database.Members, database.Members)
}

// Epoch returns the epoch of this ownership.
func (o *Owner) Epoch() types.Epoch { return o.settings.Epoch }

// Lost reports whether another owner has replaced this one, and the highest epoch seen.
func (o *Owner) Lost() (bool, types.Epoch) {
	return o.state.currentPhase() == lost, o.state.supersededBy()
}

// Release lets the transactions in flight finish, then gives up the members; new ones are refused at once. It returns
// what the next owner may rely on, zero when some transactions did not finish.
func (o *Owner) Release(ctx context.Context) Handover {
	o.mu.Lock()
	if !o.draining {
		o.draining = true
		if o.inFlight == 0 {
			close(o.idle)
		}
	}
	o.mu.Unlock()
	finished := true
	select {
	case <-o.idle:
	case <-ctx.Done():
		finished = false
	}
	h := o.noteRelease(finished)
	o.Close()
	return h
}

// noteRelease keeps the handover of the first release, which later ones return as well.
func (o *Owner) noteRelease(finished bool) Handover {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.released {
		o.released = true
		if finished {
			o.handover = Handover{Epoch: o.settings.Epoch, Until: o.state.leaseUntil()}
		}
	}
	return o.handover
}

// Close ends all connections to the members at once and waits for the owner's goroutines.
func (o *Owner) Close() {
	o.state.lose(0)
	o.stop()
	for _, m := range o.members {
		m.pool.close()
	}
	o.duties.Wait()
}

func (o *Owner) closeWhenLost(ctx context.Context) {
	for {
		changed := o.state.changes()
		if o.state.currentPhase() == lost {
			break
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
	o.stop()
	for _, m := range o.members {
		m.pool.close()
	}
	o.settings.Counters.Losses.Add(1)
	o.settings.Logger.Info("ownership ended", "database", o.Database(), "epoch", o.settings.Epoch)
}

// adopt makes a primary the one that transactions use.
func (o *Owner) adopt(primary quorum.Observation, elected *quorum.Status) {
	before, _ := o.state.primaryAndTerm()
	late := o.state.adopt(primary, elected)
	o.settings.Counters.ConfirmedLate.Add(int64(late))
	o.floors.RaiseBase(primary.Position)
	if m, ok := o.members[before]; ok && before != primary.Target {
		m.pool.abort()
	}
	o.members[primary.Target].pool.dropIdle()
	o.settings.Logger.Info("primary adopted", "database", o.Database(), "target", primary.Target, "term", primary.Term,
		"position", primary.Position)
}

// primaryIdle reports whether no transaction holds a connection to the target.
func (o *Owner) primaryIdle(target types.TargetID) bool {
	held, _ := o.members[target].pool.gate.InUse()
	return held == 0
}

// begin counts a transaction; it reports false when the owner takes no new ones.
func (o *Owner) begin() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.draining {
		return false
	}
	o.inFlight++
	return true
}

func (o *Owner) end() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.inFlight--
	if o.draining && o.inFlight == 0 {
		close(o.idle)
	}
}
