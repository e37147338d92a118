package place_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"turmericpulley/core/clock"
	"turmericpulley/core/place"
	"turmericpulley/core/types"
)

func TestLeavingPrimaryIsUsedForALimitedTime(t *testing.T) {
	const member = types.TargetID("i-1")
	for name, c := range map[string]struct {
		seenBefore bool
		usedFor    time.Duration
	}{
		"notice read by this owner":     {seenBefore: true, usedFor: 4500 * time.Millisecond},
		"notice read by a former owner": {seenBefore: false, usedFor: 2 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			now := clock.Moment(time.Hour)
			leaving := place.NewLeaving(clock.Manual(func() clock.Moment { return now }))
			if c.seenBefore {
				leaving.Update(map[types.TargetID]bool{member: false})
				now = now.Add(time.Minute)
				require.True(t, leaving.MayUse(member))
			}
			leaving.Update(map[types.TargetID]bool{member: true})
			now = now.Add(c.usedFor - time.Millisecond)
			leaving.Update(map[types.TargetID]bool{member: true, "i-2": false})
			require.True(t, leaving.MayUse(member))
			require.True(t, leaving.MayUse("i-2"))
			now = now.Add(2 * time.Millisecond)
			require.False(t, leaving.MayUse(member))
			leaving.Update(map[types.TargetID]bool{member: false})
			require.True(t, leaving.MayUse(member), "another run of the member")
		})
	}
}
