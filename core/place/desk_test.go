package place_test

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"turmericpulley/core/clock"
	"turmericpulley/core/fault"
	"turmericpulley/core/place"
	"turmericpulley/core/types"
)

const (
	primary = types.TargetID("p")
	first   = types.TargetID("a")
	second  = types.TargetID("b")
)

// members returns a primary and two replicas with two slots each, as at Sencnik.
func members() []place.Member {
	return []place.Member{
		{Target: primary, Slots: 2, MaxConnections: 14, Usable: true},
		{Target: first, Slots: 2, MaxConnections: 14, Usable: true},
		{Target: second, Slots: 2, MaxConnections: 14, Usable: true},
	}
}

func at(number int) types.LogPosition {
	return types.LogPosition{Term: 1, Number: types.Position(number)}
}

// newDesk returns an open desk whose replicas have applied everything.
func newDesk(c clock.Clock) *place.Scheduler {
	d := place.NewScheduler(c)
	d.SetMembers(members())
	d.SetPrimary(primary, 1, at(100), c.Now())
	d.RecordReplicaPosition(first, at(100))
	d.RecordReplicaPosition(second, at(100))
	return d
}

func need(c clock.Clock, objective, deadline time.Duration) place.SlotRequest {
	return place.SlotRequest{Class: "c", Priority: 1, Objective: c.Now().Add(objective), Deadline: c.Now().Add(deadline)}
}

func TestReplicasServeFirstAndThePrimaryKeepsSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := clock.Runtime()
		d := newDesk(c)
		n := need(c, 200*time.Millisecond, time.Second)
		n.AllowReplicas, n.MinPosition = true, at(100)
		seen := map[types.TargetID]int{}
		for range 7 {
			g, err := d.Acquire(n)
			require.NoError(t, err)
			seen[g.Target]++
		}
		require.Equal(t, map[types.TargetID]int{first: 3, second: 3, primary: 1}, seen)
		write, err := d.Acquire(need(c, 100*time.Millisecond, time.Second))
		require.NoError(t, err)
		require.True(t, write.Primary, "a slot was kept for what only the primary can do")
	})
}

func TestReadsThatNoReplicaHoldsGoToThePrimary(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := clock.Runtime()
		d := newDesk(c)
		time.Sleep(10 * time.Millisecond)
		d.RecordPrimaryPosition(primary, at(200), c.Now())
		// Both replicas are seconds behind.
		time.Sleep(4 * time.Second)
		d.RecordReplicaPosition(first, at(101))
		d.RecordReplicaPosition(second, at(101))
		d.RecordPrimaryPosition(primary, at(201), c.Now())
		n := need(c, 200*time.Millisecond, time.Second)
		n.AllowReplicas, n.MinPosition = true, at(201)
		for range 3 {
			g, err := d.Acquire(n)
			require.NoError(t, err)
			require.True(t, g.Primary)
		}
	})
}

// TestAReadWaitsForAReplicaThatIsAboutToCatchUp answers short lags under load: the primary's slots are taken.
func TestAReadWaitsForAReplicaThatIsAboutToCatchUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := clock.Runtime()
		d := newDesk(c)
		for range 3 {
			_, err := d.Acquire(need(c, time.Second, 10*time.Second))
			require.NoError(t, err)
		}
		time.Sleep(time.Second)
		d.RecordPrimaryPosition(primary, at(150), c.Now())
		n := need(c, 300*time.Millisecond, time.Second)
		n.AllowReplicas, n.MinPosition = true, at(150)
		began := c.Now()
		g, err := d.Acquire(n)
		require.NoError(t, err)
		require.False(t, g.Primary)
		require.Less(t, c.Since(began), 200*time.Millisecond)
	})
}

func TestWithoutAPrimaryWorkThatCannotWaitIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := clock.Runtime()
		d := newDesk(c)
		d.SuspendPrimary(1500 * time.Millisecond)
		began := c.Now()
		_, err := d.Acquire(need(c, 100*time.Millisecond, time.Second))
		f := fault.From(err)
		require.Equal(t, fault.NoPrimary, f.Kind)
		require.Equal(t, 1500*time.Millisecond, f.RetryAfter)
		require.Zero(t, c.Since(began))
		n := need(c, 100*time.Millisecond, time.Second)
		n.AllowReplicas, n.MinPosition = true, at(100)
		g, err := d.Acquire(n)
		require.NoError(t, err, "replicas go on")
		require.False(t, g.Primary)
		waited := make(chan error)
		go func() {
			_, err := d.Acquire(need(c, time.Second, 4*time.Second))
			waited <- err
		}()
		time.Sleep(time.Second)
		d.SetPrimary(first, 2, at(120), c.Now())
		require.NoError(t, <-waited, "work that can wait is served by the next primary")
	})
}

func TestTransactionsLeaveConnectionsForStatements(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := clock.Runtime()
		d := newDesk(c)
		n := need(c, 10*time.Second, time.Minute)
		n.BeginsTransaction = true
		opened := 0
		for range 14 {
			n.Deadline = c.Now().Add(50 * time.Millisecond)
			g, err := d.Acquire(n)
			if err != nil {
				break
			}
			opened++
			d.Release(g, time.Millisecond, true)
		}
		require.Equal(t, 11, opened)
		single, err := d.Acquire(need(c, time.Second, time.Second))
		require.NoError(t, err)
		d.Release(single, time.Millisecond, false)
		d.Unpin(primary)
		n.Deadline = c.Now().Add(time.Second)
		n.BeginsTransaction = true
		_, err = d.Acquire(n)
		require.NoError(t, err)
	})
}

func TestFloorsFollowTheAgeThatARouteAllows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := clock.Runtime()
		d := newDesk(c)
		time.Sleep(time.Second)
		d.RecordPrimaryPosition(primary, at(150), c.Now())
		time.Sleep(time.Second)
		d.RecordPrimaryPosition(primary, at(180), c.Now())
		floor, known := d.MinPosition(1500*time.Millisecond, types.LogPosition{})
		require.True(t, known)
		require.Equal(t, at(150), floor)
		floor, _ = d.MinPosition(1500*time.Millisecond, at(170))
		require.Equal(t, at(170), floor, "the session's own commit")
		time.Sleep(2 * time.Second)
		_, known = d.MinPosition(1500*time.Millisecond, types.LogPosition{})
		require.False(t, known, "nothing was heard of the primary for longer than the bound")
		d.SetPrimary(first, 2, at(160), c.Now())
		floor, _ = d.MinPosition(1500*time.Millisecond, at(170))
		require.Equal(t, at(160), floor, "the promotion dropped the session's position")
	})
}

// load replays operations of one kind for a span of paused time.
type load struct {
	perSecond int
	work      time.Duration
	objective time.Duration
	deadline  time.Duration
	priority  int
	replicas  bool
}

// tally counts how operations ended.
type tally struct {
	timely, late, refused, waitedOut atomic.Int64
}

// arrive lets operations begin at random moments of the span and returns when all have ended.
func (l load) arrive(c clock.Clock, span time.Duration, seed uint64, operation func()) {
	random := rand.New(rand.NewPCG(seed, 1))
	var running sync.WaitGroup
	for end := c.Now().Add(span); c.Now() < end; {
		time.Sleep(time.Duration(random.ExpFloat64() * float64(time.Second) / float64(l.perSecond)))
		running.Go(operation)
	}
	running.Wait()
}

// served counts an operation that began at the moment and was served.
func (l load) served(began clock.Moment, c clock.Clock, result *tally) {
	if c.Since(began) <= l.objective {
		result.timely.Add(1)
		return
	}
	result.late.Add(1)
}

func (l load) play(d *place.Scheduler, c clock.Clock, span time.Duration, seed uint64) *tally {
	result := &tally{}
	l.arrive(c, span, seed, func() { l.one(d, c, result) })
	return result
}

// need returns an operation that begins at the moment and may see the log as the replicas have it at first.
func (l load) need(began clock.Moment) place.SlotRequest {
	return place.SlotRequest{
		Class: place.Class(l.work.String()), Priority: l.priority, Objective: began.Add(l.objective), Deadline: began.Add(l.deadline),
		AllowReplicas: l.replicas, MinPosition: at(100),
	}
}

func (l load) one(d *place.Scheduler, c clock.Clock, result *tally) {
	began := c.Now()
	g, err := d.Acquire(l.need(began))
	if err != nil {
		if c.Since(began) > l.deadline/2 {
			result.waitedOut.Add(1)
		}
		result.refused.Add(1)
		return
	}
	time.Sleep(l.work)
	d.Release(g, l.work, false)
	l.served(began, c, result)
}

// TestOverloadOfThePrimaryKeepsServingInTime sends 2.5 times of what the primary can serve for ten seconds. Most of its
// capacity must still end in time, and nothing may wait for its deadline only to be refused.
func TestOverloadOfThePrimaryKeepsServingInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := clock.Runtime()
		d := newDesk(c)
		l := load{perSecond: 500, work: 10 * time.Millisecond, objective: 200 * time.Millisecond, deadline: time.Second}
		result := l.play(d, c, 10*time.Second, 7)
		capacity := int64(10 * 200)
		require.Greater(t, result.timely.Load(), capacity*7/10)
		require.Greater(t, result.refused.Load(), int64(1500))
		require.Less(t, result.waitedOut.Load(), int64(50))
	})
}

// TestOneKindOfRequestDoesNotStarveAMoreImportantOne floods the primary with reads beside a few writes of a higher
// priority.
func TestOneKindOfRequestDoesNotStarveAMoreImportantOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := clock.Runtime()
		d := newDesk(c)
		flood := load{perSecond: 600, work: 9 * time.Millisecond, objective: 200 * time.Millisecond, deadline: 800 * time.Millisecond, priority: 2}
		writes := load{perSecond: 30, work: 3 * time.Millisecond, objective: 100 * time.Millisecond, deadline: 800 * time.Millisecond, priority: 1}
		var both sync.WaitGroup
		var served *tally
		both.Go(func() { flood.play(d, c, 6*time.Second, 3) })
		both.Go(func() { served = writes.play(d, c, 6*time.Second, 4) })
		both.Wait()
		all := served.timely.Load() + served.late.Load() + served.refused.Load()
		require.Greater(t, served.timely.Load(), all*95/100)
	})
}

// operation plays one operation of a caller that asks again after a refusal, at most twice, and reports whether it ended
// within the objective, counted from the first attempt.
func (l load) operation(d *place.Scheduler, c clock.Clock, slots chan struct{}, result *tally) {
	const callerPause = 150 * time.Millisecond
	began := c.Now()
	for attempt := range 3 {
		if attempt > 0 {
			time.Sleep(callerPause)
		}
		n := l.need(c.Now())
		n.MinPosition = at(201)
		g, err := d.Acquire(n)
		if err != nil {
			continue
		}
		sent := c.Now()
		slots <- struct{}{}
		time.Sleep(l.work)
		<-slots
		d.Release(g, c.Since(sent), false)
		l.served(began, c, result)
		return
	}
	result.refused.Add(1)
}

// TestWhenAllReplicasLagMostCallersAreServedInTime answers replicas that are seconds behind: all work of a database falls
// on two slots, 1.3 times what they can serve. Callers ask again, so work that is refused and then served late costs slots
// for nothing; short work goes first.
func TestWhenAllReplicasLagMostCallersAreServedInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := clock.Runtime()
		d := newDesk(c)
		time.Sleep(10 * time.Millisecond)
		d.RecordPrimaryPosition(primary, at(200), c.Now())
		time.Sleep(11 * time.Second)
		d.RecordReplicaPosition(first, at(101))
		d.RecordReplicaPosition(second, at(101))
		d.RecordPrimaryPosition(primary, at(201), c.Now())
		kinds := []load{
			{perSecond: 60, work: 3 * time.Millisecond, objective: 100 * time.Millisecond, deadline: 800 * time.Millisecond, priority: 1},
			{perSecond: 37, work: 15 * time.Millisecond, objective: 300 * time.Millisecond, deadline: 1200 * time.Millisecond, priority: 2, replicas: true},
			{perSecond: 200, work: 9 * time.Millisecond, objective: 200 * time.Millisecond, deadline: 800 * time.Millisecond, priority: 2, replicas: true},
		}
		slots := make(chan struct{}, 2)
		tallies := make([]*tally, len(kinds))
		var all sync.WaitGroup
		for i, l := range kinds {
			tallies[i] = &tally{}
			all.Go(func() {
				l.arrive(c, 10*time.Second, uint64(i), func() { l.operation(d, c, slots, tallies[i]) })
			})
		}
		all.Wait()
		share := func(i int) float64 {
			r := tallies[i]
			return float64(r.timely.Load()) / float64(r.timely.Load()+r.late.Load()+r.refused.Load())
		}
		t.Logf("in time: urgent %.3f, long reads %.3f, short reads %.3f", share(0), share(1), share(2))
		require.Greater(t, share(0), 0.95, "urgent work is not held back")
		require.Greater(t, share(2), 0.85, "short reads are served in time, as they can be but for the long ones")
	})
}

// TestWorkGivenUpInAShortOverloadIsServedLate answers a burst of 0.6 s: long work that gives way to short work can wait until the
// slots are free again, and is not turned away.
func TestWorkGivenUpInAShortOverloadIsServedLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := clock.Runtime()
		d := newDesk(c)
		slots := make(chan struct{}, 2)
		play := func(l load, span time.Duration, seed uint64) *tally {
			result := &tally{}
			l.arrive(c, span, seed, func() { l.operation(d, c, slots, result) })
			return result
		}
		short := load{perSecond: 60, work: 9 * time.Millisecond, objective: 200 * time.Millisecond, deadline: time.Second, priority: 2}
		long := load{perSecond: 15, work: 30 * time.Millisecond, objective: 400 * time.Millisecond, deadline: 4 * time.Second, priority: 2}
		burst := short
		burst.perSecond = 300
		var all sync.WaitGroup
		var served *tally
		all.Go(func() { play(short, 4*time.Second, 1) })
		all.Go(func() { served = play(long, 4*time.Second, 2) })
		all.Go(func() {
			time.Sleep(2 * time.Second)
			play(burst, 600*time.Millisecond, 3)
		})
		all.Wait()
		t.Logf("long work: in time %d, late %d, refused %d", served.timely.Load(), served.late.Load(), served.refused.Load())
		require.Zero(t, served.refused.Load())
	})
}

// TestAMemberThatFailsPartOfItsRequestsGetsFew answers a replica of which every second request has no answer, though it
// answers questions for its status; after it is well again it gets its part.
func TestAMemberThatFailsPartOfItsRequestsGetsFew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := clock.Runtime()
		d := newDesk(c)
		random := rand.New(rand.NewPCG(4, 1))
		serve := func(count int, failing float64) int {
			atFirst := 0
			for range count {
				time.Sleep(10 * time.Millisecond)
				n := need(c, 300*time.Millisecond, time.Second)
				n.AllowReplicas, n.MinPosition = true, at(100)
				g, err := d.Acquire(n)
				require.NoError(t, err)
				took := 5 * time.Millisecond
				if g.Target == first {
					atFirst++
					if random.Float64() < failing {
						d.ReportFailure(first)
						took = 0
					}
				}
				time.Sleep(5 * time.Millisecond)
				d.Release(g, took, false)
			}
			return atFirst
		}
		require.Greater(t, serve(200, 0), 180, "the first of two equal ones")
		require.Less(t, serve(600, 0.5), 600/8, "nine seconds of failures")
		serve(300, 0)
		require.Greater(t, serve(200, 0), 180, "the member is well again")
	})
}
