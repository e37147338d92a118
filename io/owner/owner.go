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
	settings     Settings
	members      map[types.TargetID]*member
	state        *state
	minPositions *reads.MinPositions
	rateLimiter  *admit.RateLimiter
	retryBudget  *retry.Budget

	// watchdogMu lets one watch for silence at a time use a control connection.
	watchdogMu sync.Mutex

	stop context.CancelFunc
	// goroutines are the goroutines that Close waits for.
	goroutines sync.WaitGroup
	mu         sync.Mutex
	inFlight   int
	draining   bool
	released   bool
	handover   Handover
	drained    chan struct{}
}

// New claims the members of a database and starts to watch them.
func New(s Settings) *Owner {
	ctx, stop := context.WithCancel(context.Background())
	o := &Owner{
		settings:     s,
		members:      map[types.TargetID]*member{},
		state:        newState(s.Epoch, s.Database.Majority()),
		minPositions: reads.NewMinPositions(0),
		rateLimiter:  admit.NewRateLimiter(),
		retryBudget:  retry.NewBudget(),
		stop:         stop,
		drained:      make(chan struct{}),
	}
	s.Counters.Claims.Add(1)
	for _, info := range s.Database.Members {
		m := &member{info: info, pool: newPool(s.Group.Connections-reservedConnections, dialSettings(s, info), s.Counters)}
		m.pool.recordQueueWait = s.RecordQueueWait
		o.members[info.Target] = m
	}
	for _, m := range o.members {
		o.goroutines.Go(func() { o.monitor(ctx, m) })
	}
	c := &failoverController{owner: o, lastRepoint: map[types.TargetID]time.Time{}}
	o.goroutines.Go(func() { c.run(ctx) })
	o.goroutines.Go(func() { o.closeWhenLost(ctx) })
	o.goroutines.Go(func() { o.resetDirtyConns(ctx) })
	return o
}

// Database returns the id of the database.
func (o *Owner) Database() types.DatabaseID { return o.settings.Database.Database }

// Matches reports whether the owner was made for just this group and database.
func (o *Owner) Matches(group policy.Group, database policy.Database) bool {
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
			close(o.drained)
		}
	}
	o.mu.Unlock()
	finished := true
	select {
	case <-o.drained:
	case <-ctx.Done():
		finished = false
	}
	h := o.recordHandover(finished)
	o.Close()
	return h
}

// recordHandover keeps the handover of the first release, which later ones return as well.
func (o *Owner) recordHandover(finished bool) Handover {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.released {
		o.released = true
		if finished {
			o.handover = Handover{Epoch: o.settings.Epoch, LeaseExpiry: o.state.leaseExpiry()}
		}
	}
	return o.handover
}

// Close ends all connections to the members at once and waits for the owner's goroutines.
func (o *Owner) Close() {
	o.state.endOwnership(0)
	o.stop()
	for _, m := range o.members {
		m.pool.close()
	}
	o.goroutines.Wait()
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

// setPrimary makes a primary the one that transactions use.
func (o *Owner) setPrimary(primary quorum.Observation, elected *quorum.Status) {
	before, _ := o.state.primaryAndTerm()
	late := o.state.setPrimary(primary, elected)
	o.settings.Counters.ConfirmedAfterPromotion.Add(int64(late))
	o.minPositions.RaiseBase(primary.Position)
	if m, ok := o.members[before]; ok && before != primary.Target {
		m.pool.abortAll()
	}
	o.members[primary.Target].pool.closeIdle()
	o.settings.Logger.Info("primary adopted", "database", o.Database(), "target", primary.Target, "term", primary.Term,
		"position", primary.Position)
}

// primaryIdle reports whether no transaction holds a connection to the target.
func (o *Owner) primaryIdle(target types.TargetID) bool {
	held, _ := o.members[target].pool.limiter.InUse()
	return held == 0
}

// beginTransaction counts a transaction; it reports false when the owner takes no new ones.
func (o *Owner) beginTransaction() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.draining {
		return false
	}
	o.inFlight++
	return true
}

func (o *Owner) endTransaction() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.inFlight--
	if o.draining && o.inFlight == 0 {
		close(o.drained)
	}
}
