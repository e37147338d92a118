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

// placing gives a read to a member, and takes it back with the time that the member took.
type placing interface {
	acquire(l load) (member types.TargetID, release func(took time.Duration), err error)
}

// byDesk places reads as the product does.
type byDesk struct {
	desk  *place.Scheduler
	clock clock.Clock
}

func (b byDesk) acquire(l load) (types.TargetID, func(time.Duration), error) {
	g, err := b.desk.Acquire(l.need(b.clock.Now()))
	if err != nil {
		return "", nil, err
	}
	return g.Target, func(took time.Duration) { b.desk.Release(g, took, false) }, nil
}

// atRandom is the baseline: any member for any read, first come first served there.
type atRandom struct {
	mu     *sync.Mutex
	random *rand.Rand
}

func (a atRandom) acquire(load) (types.TargetID, func(time.Duration), error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	all := members()
	return all[a.random.IntN(len(all))].Target, func(time.Duration) {}, nil
}

// playWithSlow replays reads for ten seconds on members with two slots each, of which one works slower by the factor, and
// returns how the reads ended and how many of them the slow member had.
func playWithSlow(p placing, c clock.Clock, l load, slow types.TargetID, factor int) (*tally, int64) {
	slots := map[types.TargetID]chan struct{}{}
	for _, m := range members() {
		slots[m.Target] = make(chan struct{}, m.Slots)
	}
	result := &tally{}
	var atSlow atomic.Int64
	l.arrive(c, 10*time.Second, 11, func() {
		began := c.Now()
		member, release, err := p.acquire(l)
		if err != nil {
			result.refused.Add(1)
			return
		}
		sent, work := c.Now(), l.work
		if member == slow {
			work *= time.Duration(factor)
			atSlow.Add(1)
		}
		slots[member] <- struct{}{}
		time.Sleep(work)
		<-slots[member]
		release(c.Since(sent))
		l.served(began, c, result)
	})
	return result, atSlow.Load()
}

// TestASlowMemberMakesFewReadsLate answers a replica that works thirty times slower than the others, so that its answers come after
// the objective, beside enough of others for all reads. It is busy with few, and those that are less busy get the rest; the
// second attempt of io/group is not part of this replay.
func TestASlowMemberMakesFewReadsLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := clock.Runtime()
		l := load{perSecond: 150, work: 9 * time.Millisecond, objective: 200 * time.Millisecond, deadline: time.Second, priority: 2, replicas: true}
		inTime := func(p placing) float64 {
			result, atSlow := playWithSlow(p, c, l, first, 30)
			t.Logf("%T: in time %d, late %d, refused %d; at the slow member %d",
				p, result.timely.Load(), result.late.Load(), result.refused.Load(), atSlow)
			return float64(result.timely.Load()) / float64(result.timely.Load()+result.late.Load()+result.refused.Load())
		}
		baseline := inTime(atRandom{&sync.Mutex{}, rand.New(rand.NewPCG(5, 1))})
		placed := inTime(byDesk{newDesk(c), c})
		require.Greater(t, placed, 0.85, "the goal of a day with trouble")
		require.Greater(t, placed, baseline)
	})
}
