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
	"turmericpulley/core/place"
	"turmericpulley/core/types"
)

// placer chooses a member for a read; release takes the time that the member worked on it.
type placer interface {
	acquire(l load) (member types.TargetID, release func(took time.Duration), err error)
}

// scheduledPlacement uses the scheduler.
type scheduledPlacement struct {
	scheduler *place.Scheduler
	clock     clock.Clock
}

func (p scheduledPlacement) acquire(l load) (types.TargetID, func(time.Duration), error) {
	g, err := p.scheduler.Acquire(l.request(p.clock.Now()))
	if err != nil {
		return "", nil, err
	}
	return g.Target, func(took time.Duration) { p.scheduler.Release(g, took, false) }, nil
}

// randomPlacement is the baseline: a random member for each read, first come, first served at the member.
type randomPlacement struct {
	mu     *sync.Mutex
	random *rand.Rand
}

func (p randomPlacement) acquire(load) (types.TargetID, func(time.Duration), error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := members()
	return all[p.random.IntN(len(all))].Target, func(time.Duration) {}, nil
}

// runWithSlowMember runs reads for ten seconds on members with two slots each, of which one is slower by the factor. It returns
// how the reads ended and how many of them went to the slow member.
func runWithSlowMember(p placer, c clock.Clock, l load, slow types.TargetID, factor int) (*outcomes, int64) {
	slots := map[types.TargetID]chan struct{}{}
	for _, m := range members() {
		slots[m.Target] = make(chan struct{}, m.Slots)
	}
	result := &outcomes{}
	var atSlow atomic.Int64
	l.generate(c, 10*time.Second, 11, func() {
		began := c.Now()
		member, release, err := p.acquire(l)
		if err != nil {
			result.refused.Add(1)
			return
		}
		sent, serviceTime := c.Now(), l.serviceTime
		if member == slow {
			serviceTime *= time.Duration(factor)
			atSlow.Add(1)
		}
		slots[member] <- struct{}{}
		time.Sleep(serviceTime)
		<-slots[member]
		release(c.Since(sent))
		l.recordServed(began, c, result)
	})
	return result, atSlow.Load()
}

// TestSlowMemberMakesFewReadsLate lets one replica be thirty times slower than the others, so that its answers come after the
// objective. The other members have enough slots for all reads. A few reads keep the slow replica busy, so the rest must go to
// the members with fewer statements in flight. The second attempt that io/group makes is not part of this test.
func TestSlowMemberMakesFewReadsLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := clock.Runtime()
		l := load{perSecond: 150, serviceTime: 9 * time.Millisecond, objective: 200 * time.Millisecond, deadline: time.Second, priority: 2, allowReplicas: true}
		inTime := func(p placer) float64 {
			result, atSlow := runWithSlowMember(p, c, l, replica1, 30)
			t.Logf("%T: in time %d, late %d, refused %d; at the slow member %d",
				p, result.timely.Load(), result.late.Load(), result.refused.Load(), atSlow)
			return float64(result.timely.Load()) / float64(result.timely.Load()+result.late.Load()+result.refused.Load())
		}
		baseline := inTime(randomPlacement{&sync.Mutex{}, rand.New(rand.NewPCG(5, 1))})
		scheduled := inTime(scheduledPlacement{newScheduler(c), c})
		require.Greater(t, scheduled, 0.85, "the goal for a day with faults")
		require.Greater(t, scheduled, baseline)
	})
}
