package place_test

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"turmericpulley/core/clock"
	"turmericpulley/core/place"
)

// TestASuccessorServesWhatItCanAtThePeak answers an owner killed at the peak: its successor knows no member's lag and no class's
// time, and all callers that waited come at once, on top of a load of nearly all slots. What comes a second later must
// be served in time, and nothing may wait for its deadline only to be refused.
func TestASuccessorServesWhatItCanAtThePeak(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := clock.Runtime()
		d := place.NewScheduler(c)
		d.SetMembers(members())
		reads := load{perSecond: 350, work: 9 * time.Millisecond, objective: 200 * time.Millisecond, deadline: 800 * time.Millisecond, priority: 2, replicas: true}
		writes := load{perSecond: 60, work: 3 * time.Millisecond, objective: 100 * time.Millisecond, deadline: 800 * time.Millisecond, priority: 1}
		returning, fresh := &tally{}, &tally{}
		var all sync.WaitGroup
		for range 250 {
			all.Go(func() { reads.one(d, c, returning) })
		}
		for range 50 {
			all.Go(func() { writes.one(d, c, returning) })
		}
		d.SetPrimary(primary, 1, at(100), c.Now())
		d.RecordReplicaPosition(first, at(100))
		d.RecordReplicaPosition(second, at(100))
		for i, l := range []load{reads, writes} {
			all.Go(func() {
				began := c.Now()
				l.arrive(c, 6*time.Second, uint64(i), func() {
					result := returning
					if c.Since(began) > time.Second {
						result = fresh
					}
					l.one(d, c, result)
				})
			})
		}
		all.Wait()
		t.Logf("within the first second: in time %d, late %d, refused %d, after their deadline %d",
			returning.timely.Load(), returning.late.Load(), returning.refused.Load(), returning.waitedOut.Load())
		t.Logf("later: in time %d, late %d, refused %d", fresh.timely.Load(), fresh.late.Load(), fresh.refused.Load())
		require.Zero(t, returning.waitedOut.Load())
		require.Greater(t, returning.timely.Load(), int64(400), "the slots of one second, 600 times 9 ms, are not left idle")
		require.Greater(t, fresh.timely.Load(), (fresh.timely.Load()+fresh.late.Load()+fresh.refused.Load())*95/100)
	})
}
