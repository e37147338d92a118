package cover_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"turmericpulley/core/clock"
	"turmericpulley/core/cover"
	"turmericpulley/core/types"
)

func TestTimelineBoundsWhenChangesHappened(t *testing.T) {
	const start = clock.Moment(time.Hour)
	timeline := &cover.Timeline{}
	require.Zero(t, timeline.Before(1000), "nothing is known yet")
	for second := range 40 {
		timeline.Record(types.Revision(100+10*second), start.Add(time.Duration(second)*time.Second))
	}
	timeline.Record(300, start.Add(time.Hour))
	timeline.Record(900, start.Add(time.Second))
	for name, c := range map[string]struct {
		revision types.Revision
		before   clock.Moment
	}{
		"at a sample":                   {revision: 460, before: start.Add(36 * time.Second)},
		"between two samples":           {revision: 469, before: start.Add(36 * time.Second)},
		"after the latest sample":       {revision: 5000, before: start.Add(39 * time.Second)},
		"before the oldest kept sample": {revision: 150, before: 0},
	} {
		t.Run(name, func(t *testing.T) { require.Equal(t, c.before, timeline.Before(c.revision)) })
	}
}

func TestTimelineKeepsTheLatestMomentOfARevision(t *testing.T) {
	const start = clock.Moment(time.Hour)
	timeline := &cover.Timeline{}
	for second := range 100 {
		timeline.Record(7, start.Add(time.Duration(second)*time.Second))
	}
	require.Equal(t, start.Add(99*time.Second), timeline.Before(7))
	require.Zero(t, timeline.Before(6))
}
