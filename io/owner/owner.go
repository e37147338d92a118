package owner

import (
	"context"
	"slices"
	"sync"
	"time"

	"turmericpulley/core/clock"
	"turmericpulley/core/policy"
	"turmericpulley/core/quorum"
	"turmericpulley/core/quota"
	"turmericpulley/core/reads"
	"turmericpulley/core/retry"
	"turmericpulley/core/types"
)

// Owner runs the transactions of one database, watches its members and replaces its primary.
type Owner struct {
	settings     Settings
	members      map[types.TargetID]*member
	state        *state
	minPositions *reads.MinPositions
	limits       *quota.Ledger
	retryBudget  *retry.Budget

	// watchdogMu lets one watchdog at a time check its target over a control connection.
	watchdogMu sync.Mutex

	stop context.CancelFunc
	// goroutines counts the goroutines that Close waits for.
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
		limits:       quota.NewLocalLedger(clock.Runtime()),
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

// Matches reports whether the owner was started with the same slots and connections of the group and the same members.
func (o *Owner) Matches(group policy.Group, database policy.Database) bool {
	return o.settings.Group.Slots == group.Slots && o.settings.Group.Connections == group.Connections &&
		slices.Equal(o.settings.Database.Members, database.Members)
}

// Epoch returns the epoch of this ownership.
func (o *Owner) Epoch() types.Epoch { return o.settings.Epoch }

// Lost reports whether the ownership has ended. It also returns the highest known epoch: that of this ownership or a higher one
// that a member reported.
func (o *Owner) Lost() (bool, types.Epoch) {
	return o.state.currentPhase() == lost, o.state.highestKnownEpoch()
}

// Release refuses new transactions, waits for those in flight and closes the connections to the members. It returns the
// handover for the next owner; the handover is zero when some transactions had not finished when the context ended.
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

// recordHandover stores the handover of the first release; later releases return the same one.
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

// Close closes all connections to the members at once and waits for the owner's goroutines.
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

// setPrimary makes a member the primary that transactions use.
func (o *Owner) setPrimary(primary quorum.Observation, elected *quorum.Status) {
	previous, _ := o.state.primaryAndTerm()
	keptWrites := o.state.setPrimary(primary, elected)
	o.settings.Counters.ConfirmedAfterPromotion.Add(int64(keptWrites))
	o.minPositions.RaiseBase(primary.Position)
	if m, ok := o.members[previous]; ok && previous != primary.Target {
		m.pool.abortAll()
	}
	o.members[primary.Target].pool.closeIdle()
	o.settings.Logger.Info("primary adopted", "database", o.Database(), "target", primary.Target, "term", primary.Term,
		"position", primary.Position)
}

// primaryIdle reports whether no transaction uses a connection to the target.
func (o *Owner) primaryIdle(target types.TargetID) bool {
	inUse, _ := o.members[target].pool.limiter.InUse()
	return inUse == 0
}

// beginTransaction counts a transaction in flight; it reports false when the owner accepts no new ones.
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
