package place_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"turmericpulley/core/clock"
	"turmericpulley/core/place"
	"turmericpulley/core/types"
)

// TestLeavingPrimaryIsUsedForALimitedTime sends statements to a leaving primary while nobody suspends it.
func TestLeavingPrimaryIsUsedForALimitedTime(t *testing.T) {
	const primary = types.TargetID("i-1")
	const limit = 6500 * time.Millisecond
	stayed := clock.Moment(time.Hour)
	now := stayed
	s := place.NewScheduler(clock.Manual(func() clock.Moment { return now }))
	serves := func() bool {
		g, err := s.Acquire(place.SlotRequest{Deadline: now.Add(time.Millisecond), Objective: now.Add(time.Millisecond)})
		if err != nil {
			return false
		}
		s.Release(g, time.Millisecond, false)
		return true
	}
	members := func(until clock.Moment) {
		s.SetMembers([]place.Member{
			{Target: primary, Slots: 2, MaxConnections: 10, Usable: true, UsableUntil: until},
			{Target: "i-2", Slots: 2, MaxConnections: 10, Usable: true},
		})
	}
	members(place.LastUse(stayed))
	s.SetPrimary(primary, 1, types.LogPosition{Term: 1, Number: 1}, now)
	now = stayed.Add(limit - time.Millisecond)
	require.True(t, serves())
	now = stayed.Add(limit + time.Millisecond)
	require.False(t, serves())
	members(0)
	require.True(t, serves(), "another run of the member")
	require.Zero(t, place.LastUse(0), "a notice of unknown age")
}
