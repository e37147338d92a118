package types_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"turmericpulley/core/types"
)

func at(term types.Term, number types.Position) types.LogPosition {
	return types.LogPosition{Term: term, Number: number}
}

// TestLogIsComparedWhereItLeavesTheTimeline guards against positions of two histories being compared as if they were of one.
func TestLogIsComparedWhereItLeavesTheTimeline(t *testing.T) {
	first := types.Timeline{}.With(1, types.LogPosition{})
	second := first.With(2, at(1, 94))
	third := second.With(3, at(1, 60))
	for name, test := range map[string]struct {
		timeline types.Timeline
		log      types.LogPosition
		shared   types.Position
		known    bool
	}{
		"of the present term":                             {second, at(2, 130), 130, true},
		"of an earlier term, up to its end":               {second, at(1, 94), 94, true},
		"of an earlier term, beyond its end":              {second, at(1, 167), 94, true},
		"of an earlier term, two promotions":              {third, at(1, 94), 60, true},
		"of a term that a promotion dropped as a whole":   {third, at(2, 130), 0, false},
		"of a later term than any known":                  {second, at(4, 20), 20, true},
		"empty":                                           {third, at(2, 0), 0, true},
		"of an earlier term, the present start unknown":   {second.With(3, types.LogPosition{}), at(1, 50), 0, false},
		"of a term before the oldest one":                 {types.Timeline{}.With(5, at(4, 10)), at(3, 5), 0, false},
		"of the term before a promotion that was unknown": {types.Timeline{}.With(5, at(4, 10)), at(4, 12), 10, true},
	} {
		shared, known := test.timeline.Shared(test.log)
		require.Equal(t, test.known, known, name)
		require.Equal(t, test.shared, shared, name)
	}
	require.Positive(t, second.Compare(at(1, 94), at(1, 50)))
	require.Zero(t, second.Compare(at(1, 94), at(1, 167)), "both hold the same of the history in force")
	require.Negative(t, second.Compare(at(1, 167), at(2, 95)))
	require.Positive(t, third.Compare(at(3, 60), at(2, 130)))
	require.Positive(t, third.Compare(at(2, 130), types.LogPosition{}), "an unknown log is not counted as empty")
}

// TestTimelineKeepsTheNewestTerms lets a log of a dropped term count as unknown rather than as part of the history.
func TestTimelineKeepsTheNewestTerms(t *testing.T) {
	timeline := types.Timeline{}
	for n := range types.Term(40) {
		timeline = timeline.With(n+2, at(n+1, types.Position(10*(n+1))))
	}
	require.Len(t, timeline, 16)
	require.Equal(t, types.Term(41), timeline.Last())
	_, known := timeline.Shared(at(3, 1))
	require.False(t, known)
	shared, known := timeline.Shared(at(40, 405))
	require.True(t, known)
	require.EqualValues(t, 400, shared)
	require.Equal(t, types.Term(40), timeline.UpTo(40).Last())
	require.Equal(t, types.TermStart{Term: 50}, timeline.UpTo(50)[15], "a term of which nothing is recorded")
}
