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
	primary  = types.TargetID("p")
	replica1 = types.TargetID("a")
	replica2 = types.TargetID("b")
)

// members returns a primary and two replicas with two slots each, as at the Sencnik site.
func members() []place.Member {
	return []place.Member{
		{Target: primary, Slots: 2, MaxConnections: 14, Usable: true},
		{Target: replica1, Slots: 2, MaxConnections: 14, Usable: true},
		{Target: replica2, Slots: 2, MaxConnections: 14, Usable: true},
	}
}

func position(number int) types.LogPosition {
	return types.LogPosition{Term: 1, Number: types.Position(number)}
}

// newScheduler returns a scheduler with an active primary and replicas that have applied all of its log.
func newScheduler(c clock.Clock) *place.Scheduler {
	s := place.NewScheduler(c)
	s.SetMembers(members())
	s.SetPrimary(primary, 1, position(100), c.Now())
	s.RecordReplicaPosition(replica1, position(100))
	s.RecordReplicaPosition(replica2, position(100))
	return s
}

func request(c clock.Clock, objective, deadline time.Duration) place.SlotRequest {
	return place.SlotRequest{Class: "c", Priority: 1, Objective: c.Now().Add(objective), Deadline: c.Now().Add(deadline)}
}

func TestReadsPreferReplicasAndPrimaryKeepsSlotsFree(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := clock.Runtime()
		s := newScheduler(c)
		r := request(c, 200*time.Millisecond, time.Second)
		r.AllowReplicas, r.MinPosition = true, position(100)
		seen := map[types.TargetID]int{}
		for range 7 {
			g, err := s.Acquire(r)
			require.NoError(t, err)
			seen[g.Target]++
		}
		require.Equal(t, map[types.TargetID]int{replica1: 3, replica2: 3, primary: 1}, seen)
		write, err := s.Acquire(request(c, 100*time.Millisecond, time.Second))
		require.NoError(t, err)
		require.True(t, write.Primary, "a slot stays free for statements that only the primary can serve")
	})
}

func TestReadsGoToPrimaryWhenAllReplicasLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := clock.Runtime()
		s := newScheduler(c)
		time.Sleep(10 * time.Millisecond)
		s.RecordPrimaryPosition(primary, position(200), c.Now())
		// Both replicas lag by seconds.
		time.Sleep(4 * time.Second)
		s.RecordReplicaPosition(replica1, position(101))
		s.RecordReplicaPosition(replica2, position(101))
		s.RecordPrimaryPosition(primary, position(201), c.Now())
		r := request(c, 200*time.Millisecond, time.Second)
		r.AllowReplicas, r.MinPosition = true, position(201)
		for range 3 {
			g, err := s.Acquire(r)
			require.NoError(t, err)
			require.True(t, g.Primary)
		}
	})
}

// TestReadWaitsForReplicaAboutToCatchUp takes the primary's slots: a read must wait for a replica with a short lag.
func TestReadWaitsForReplicaAboutToCatchUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := clock.Runtime()
		s := newScheduler(c)
		for range 3 {
			_, err := s.Acquire(request(c, time.Second, 10*time.Second))
			require.NoError(t, err)
		}
		time.Sleep(time.Second)
		s.RecordPrimaryPosition(primary, position(150), c.Now())
		r := request(c, 300*time.Millisecond, time.Second)
		r.AllowReplicas, r.MinPosition = true, position(150)
		began := c.Now()
		g, err := s.Acquire(r)
		require.NoError(t, err)
		require.False(t, g.Primary)
		require.Less(t, c.Since(began), 200*time.Millisecond)
	})
}

func TestStatementsThatCannotWaitAreRefusedWithoutPrimary(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := clock.Runtime()
		s := newScheduler(c)
		s.SuspendPrimary(1500 * time.Millisecond)
		began := c.Now()
		_, err := s.Acquire(request(c, 100*time.Millisecond, time.Second))
		f := fault.From(err)
		require.Equal(t, fault.NoPrimary, f.Kind)
		require.Equal(t, 1500*time.Millisecond, f.RetryAfter)
		require.Zero(t, c.Since(began))
		r := request(c, 100*time.Millisecond, time.Second)
		r.AllowReplicas, r.MinPosition = true, position(100)
		g, err := s.Acquire(r)
		require.NoError(t, err, "replicas still serve reads")
		require.False(t, g.Primary)
		waited := make(chan error)
		go func() {
			_, err := s.Acquire(request(c, time.Second, 4*time.Second))
			waited <- err
		}()
		time.Sleep(time.Second)
		s.SetPrimary(replica1, 2, position(120), c.Now())
		require.NoError(t, <-waited, "a statement that can wait is served by the next primary")
	})
}

func TestTransactionsLeaveReservedConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := clock.Runtime()
		s := newScheduler(c)
		r := request(c, 10*time.Second, time.Minute)
		r.BeginsTransaction = true
		opened := 0
		for range 14 {
			r.Deadline = c.Now().Add(50 * time.Millisecond)
			g, err := s.Acquire(r)
			if err != nil {
				break
			}
			opened++
			s.Release(g, time.Millisecond, true)
		}
		require.Equal(t, 11, opened)
		single, err := s.Acquire(request(c, time.Second, time.Second))
		require.NoError(t, err)
		s.Release(single, time.Millisecond, false)
		s.Unpin(primary)
		r.Deadline = c.Now().Add(time.Second)
		r.BeginsTransaction = true
		_, err = s.Acquire(r)
		require.NoError(t, err)
	})
}

func TestMinPositionFollowsMaxAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := clock.Runtime()
		s := newScheduler(c)
		time.Sleep(time.Second)
		s.RecordPrimaryPosition(primary, position(150), c.Now())
		time.Sleep(time.Second)
		s.RecordPrimaryPosition(primary, position(180), c.Now())
		minPosition, known := s.MinPosition(1500*time.Millisecond, types.LogPosition{})
		require.True(t, known)
		require.Equal(t, position(150), minPosition)
		minPosition, _ = s.MinPosition(1500*time.Millisecond, position(170))
		require.Equal(t, position(170), minPosition, "the session's own commit")
		time.Sleep(2 * time.Second)
		_, known = s.MinPosition(1500*time.Millisecond, types.LogPosition{})
		require.False(t, known, "the last contact with the primary is longer ago than the bound")
		s.SetPrimary(replica1, 2, position(160), c.Now())
		minPosition, _ = s.MinPosition(1500*time.Millisecond, position(170))
		require.Equal(t, types.LogPosition{Term: 2, Number: 160}, minPosition, "the session's position is replaced, because the promotion may have dropped it")
	})
}

// load describes operations of one kind, which run in the test's simulated time.
type load struct {
	perSecond     int
	serviceTime   time.Duration
	objective     time.Duration
	deadline      time.Duration
	priority      int
	allowReplicas bool
}

// outcomes counts how operations ended; refusedLate are those refused after more than half of the time until the deadline.
type outcomes struct {
	timely, late, refused, refusedLate atomic.Int64
}

// generate starts operations at random moments for the duration and returns when all have ended.
func (l load) generate(c clock.Clock, duration time.Duration, seed uint64, operation func()) {
	random := rand.New(rand.NewPCG(seed, 1))
	var running sync.WaitGroup
	for end := c.Now().Add(duration); c.Now() < end; {
		time.Sleep(time.Duration(random.ExpFloat64() * float64(time.Second) / float64(l.perSecond)))
		running.Go(operation)
	}
	running.Wait()
}

// recordServed counts a served operation as timely or late.
func (l load) recordServed(began clock.Moment, c clock.Clock, result *outcomes) {
	if c.Since(began) <= l.objective {
		result.timely.Add(1)
		return
	}
	result.late.Add(1)
}

func (l load) run(s *place.Scheduler, c clock.Clock, duration time.Duration, seed uint64) *outcomes {
	result := &outcomes{}
	l.generate(c, duration, seed, func() { l.runOnce(s, c, result) })
	return result
}

// request returns the slot request of an operation; its minimum position is the one that the replicas have applied at first.
func (l load) request(began clock.Moment) place.SlotRequest {
	return place.SlotRequest{
		Class: place.Class(l.serviceTime.String()), Priority: l.priority, Objective: began.Add(l.objective), Deadline: began.Add(l.deadline),
		AllowReplicas: l.allowReplicas, MinPosition: position(100),
	}
}

func (l load) runOnce(s *place.Scheduler, c clock.Clock, result *outcomes) {
	began := c.Now()
	g, err := s.Acquire(l.request(began))
	if err != nil {
		if c.Since(began) > l.deadline/2 {
			result.refusedLate.Add(1)
		}
		result.refused.Add(1)
		return
	}
	time.Sleep(l.serviceTime)
	s.Release(g, l.serviceTime, false)
	l.recordServed(began, c, result)
}

// TestOverloadedPrimaryStillServesInTime sends 2.5 times the primary's capacity for ten seconds. Most of the capacity must go to
// statements that end in time, and statements must not wait until their deadline only to be refused then.
func TestOverloadedPrimaryStillServesInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := clock.Runtime()
		s := newScheduler(c)
		l := load{perSecond: 500, serviceTime: 10 * time.Millisecond, objective: 200 * time.Millisecond, deadline: time.Second}
		result := l.run(s, c, 10*time.Second, 7)
		capacity := int64(10 * 200)
		require.Greater(t, result.timely.Load(), capacity*7/10)
		require.Greater(t, result.refused.Load(), int64(1500))
		require.Less(t, result.refusedLate.Load(), int64(50))
	})
}

// TestFloodOfReadsDoesNotStarveHigherPriority floods the primary with reads while a few writes of a higher priority arrive.
func TestFloodOfReadsDoesNotStarveHigherPriority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := clock.Runtime()
		s := newScheduler(c)
		flood := load{perSecond: 600, serviceTime: 9 * time.Millisecond, objective: 200 * time.Millisecond, deadline: 800 * time.Millisecond, priority: 2}
		writes := load{perSecond: 30, serviceTime: 3 * time.Millisecond, objective: 100 * time.Millisecond, deadline: 800 * time.Millisecond, priority: 1}
		var both sync.WaitGroup
		var writeOutcomes *outcomes
		both.Go(func() { flood.run(s, c, 6*time.Second, 3) })
		both.Go(func() { writeOutcomes = writes.run(s, c, 6*time.Second, 4) })
		both.Wait()
		all := writeOutcomes.timely.Load() + writeOutcomes.late.Load() + writeOutcomes.refused.Load()
		require.Greater(t, writeOutcomes.timely.Load(), all*95/100)
	})
}

// runWithRetries runs one operation of a caller that retries after a refusal, at most twice. It counts the operation as timely if
// it ended within the objective, measured from the first attempt.
func (l load) runWithRetries(s *place.Scheduler, c clock.Clock, slots chan struct{}, result *outcomes) {
	const callerRetryDelay = 150 * time.Millisecond
	began := c.Now()
	for attempt := range 3 {
		if attempt > 0 {
			time.Sleep(callerRetryDelay)
		}
		r := l.request(c.Now())
		r.MinPosition = position(201)
		g, err := s.Acquire(r)
		if err != nil {
			continue
		}
		sent := c.Now()
		slots <- struct{}{}
		time.Sleep(l.serviceTime)
		<-slots
		s.Release(g, c.Since(sent), false)
		l.recordServed(began, c, result)
		return
	}
	result.refused.Add(1)
}

// TestMostCallersAreServedInTimeWhenAllReplicasLag lets all replicas lag by seconds, so that all statements go to the primary's
// two slots, 1.3 times their capacity. Callers retry, so a statement that is refused and then served late wastes a slot; short
// statements must go first.
func TestMostCallersAreServedInTimeWhenAllReplicasLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := clock.Runtime()
		s := newScheduler(c)
		time.Sleep(10 * time.Millisecond)
		s.RecordPrimaryPosition(primary, position(200), c.Now())
		time.Sleep(11 * time.Second)
		s.RecordReplicaPosition(replica1, position(101))
		s.RecordReplicaPosition(replica2, position(101))
		s.RecordPrimaryPosition(primary, position(201), c.Now())
		kinds := []load{
			{perSecond: 60, serviceTime: 3 * time.Millisecond, objective: 100 * time.Millisecond, deadline: 800 * time.Millisecond, priority: 1},
			{perSecond: 37, serviceTime: 15 * time.Millisecond, objective: 300 * time.Millisecond, deadline: 1200 * time.Millisecond, priority: 2, allowReplicas: true},
			{perSecond: 200, serviceTime: 9 * time.Millisecond, objective: 200 * time.Millisecond, deadline: 800 * time.Millisecond, priority: 2, allowReplicas: true},
		}
		slots := make(chan struct{}, 2)
		results := make([]*outcomes, len(kinds))
		var all sync.WaitGroup
		for i, l := range kinds {
			results[i] = &outcomes{}
			all.Go(func() {
				l.generate(c, 10*time.Second, uint64(i), func() { l.runWithRetries(s, c, slots, results[i]) })
			})
		}
		all.Wait()
		shareInTime := func(i int) float64 {
			r := results[i]
			return float64(r.timely.Load()) / float64(r.timely.Load()+r.late.Load()+r.refused.Load())
		}
		t.Logf("in time: urgent %.3f, long reads %.3f, short reads %.3f", shareInTime(0), shareInTime(1), shareInTime(2))
		require.Greater(t, shareInTime(0), 0.95, "urgent statements are not delayed by the others")
		require.Greater(t, shareInTime(2), 0.85, "short reads are served in time, because the long ones are deferred")
	})
}

// TestDeferredStatementsAreServedLateAfterShortOverload sends a burst of 0.6 s: long statements that are deferred in favour of
// short ones can wait until slots are free again, and must not be refused.
func TestDeferredStatementsAreServedLateAfterShortOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := clock.Runtime()
		s := newScheduler(c)
		slots := make(chan struct{}, 2)
		run := func(l load, duration time.Duration, seed uint64) *outcomes {
			result := &outcomes{}
			l.generate(c, duration, seed, func() { l.runWithRetries(s, c, slots, result) })
			return result
		}
		short := load{perSecond: 60, serviceTime: 9 * time.Millisecond, objective: 200 * time.Millisecond, deadline: time.Second, priority: 2}
		long := load{perSecond: 15, serviceTime: 30 * time.Millisecond, objective: 400 * time.Millisecond, deadline: 4 * time.Second, priority: 2}
		burst := short
		burst.perSecond = 300
		var all sync.WaitGroup
		var longOutcomes *outcomes
		all.Go(func() { run(short, 4*time.Second, 1) })
		all.Go(func() { longOutcomes = run(long, 4*time.Second, 2) })
		all.Go(func() {
			time.Sleep(2 * time.Second)
			run(burst, 600*time.Millisecond, 3)
		})
		all.Wait()
		t.Logf("long statements: in time %d, late %d, refused %d", longOutcomes.timely.Load(), longOutcomes.late.Load(), longOutcomes.refused.Load())
		require.Zero(t, longOutcomes.refused.Load())
	})
}

// TestOutlierGetsFewStatementsUntilItRecovers lets half of the statements at a replica go unanswered, at random, although the
// replica answers status queries. After it recovers it must get its part of the statements again.
func TestOutlierGetsFewStatementsUntilItRecovers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := clock.Runtime()
		s := newScheduler(c)
		random := rand.New(rand.NewPCG(4, 1))
		serve := func(count int, failureRate float64) int {
			atReplica1 := 0
			for range count {
				time.Sleep(10 * time.Millisecond)
				r := request(c, 300*time.Millisecond, time.Second)
				r.AllowReplicas, r.MinPosition = true, position(100)
				g, err := s.Acquire(r)
				require.NoError(t, err)
				took := 5 * time.Millisecond
				if g.Target == replica1 {
					atReplica1++
					if random.Float64() < failureRate {
						s.ReportFailure(replica1)
						took = 0
					}
				}
				time.Sleep(5 * time.Millisecond)
				s.Release(g, took, false)
			}
			return atReplica1
		}
		require.Greater(t, serve(200, 0), 180, "of two equal replicas the first is chosen")
		require.Less(t, serve(600, 0.5), 600/8, "nine seconds of failures")
		serve(300, 0)
		require.Greater(t, serve(200, 0), 180, "the member has recovered")
	})
}

// TestReplicaWithDroppedCommitsServesNoReads guards against reads of commits that a promotion dropped. Replica 1 holds such commits; the new
// primary, whose log ended earlier, has written nothing yet, and reports its position with the term before.
func TestReplicaWithDroppedCommitsServesNoReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := clock.Runtime()
		s := newScheduler(c)
		s.RecordReplicaPosition(replica1, position(167))
		s.SetPrimary(replica2, 2, position(120), c.Now())
		for range 3 {
			time.Sleep(time.Second)
			s.RecordPrimaryPosition(replica2, position(120), c.Now())
			for _, lastCommit := range []types.LogPosition{{}, position(110)} {
				r := request(c, 200*time.Millisecond, time.Second)
				r.MinPosition, r.AllowReplicas = s.MinPosition(1500*time.Millisecond, lastCommit)
				require.True(t, r.AllowReplicas)
				require.True(t, position(167).Before(r.MinPosition), "replica 1 would not refuse the read")
			}
		}
	})
}
