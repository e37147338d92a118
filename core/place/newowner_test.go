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

// TestNewOwnerServesInTimeAfterTakeoverAtPeakLoad takes over from an owner killed at peak load. The new owner knows no member's
// lag and no class's service time. All callers that waited send at once, on top of a load that takes more than half of all
// slots. Statements that arrive a second afterwards must be served in time, and none may wait until its deadline only to be
// refused then.
func TestNewOwnerServesInTimeAfterTakeoverAtPeakLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := clock.Runtime()
		s := place.NewScheduler(c)
		s.SetMembers(members())
		reads := load{perSecond: 350, serviceTime: 9 * time.Millisecond, objective: 200 * time.Millisecond, deadline: 800 * time.Millisecond, priority: 2, allowReplicas: true}
		writes := load{perSecond: 60, serviceTime: 3 * time.Millisecond, objective: 100 * time.Millisecond, deadline: 800 * time.Millisecond, priority: 1}
		initial, later := &outcomes{}, &outcomes{}
		var all sync.WaitGroup
		for range 250 {
			all.Go(func() { reads.runOnce(s, c, initial) })
		}
		for range 50 {
			all.Go(func() { writes.runOnce(s, c, initial) })
		}
		s.SetPrimary(primary, 1, position(100), c.Now())
		s.RecordReplicaPosition(replica1, position(100))
		s.RecordReplicaPosition(replica2, position(100))
		for i, l := range []load{reads, writes} {
			all.Go(func() {
				began := c.Now()
				l.generate(c, 6*time.Second, uint64(i), func() {
					result := initial
					if c.Since(began) > time.Second {
						result = later
					}
					l.runOnce(s, c, result)
				})
			})
		}
		all.Wait()
		t.Logf("within the first second: in time %d, late %d, refused %d, of them refused late %d",
			initial.timely.Load(), initial.late.Load(), initial.refused.Load(), initial.refusedLate.Load())
		t.Logf("later: in time %d, late %d, refused %d", later.timely.Load(), later.late.Load(), later.refused.Load())
		require.Zero(t, initial.refusedLate.Load())
		require.Greater(t, initial.timely.Load(), int64(400), "the slots of one second, enough for 600 reads of 9 ms, are not left idle")
		require.Greater(t, later.timely.Load(), (later.timely.Load()+later.late.Load()+later.refused.Load())*95/100)
	})
}
