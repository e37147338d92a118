package hold_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"turmericpulley/core/hold"
	"turmericpulley/core/types"
)

func at(term types.Term, number types.Position) types.LogPosition {
	return types.LogPosition{Term: term, Number: number}
}

// primary and replica return the report of a member that leads or follows the primary of the term and has not started again.
func primary(target types.TargetID, term types.Term, number types.Position) hold.Report {
	return hold.Report{Target: target, Primary: true, Term: term, End: at(term, number), StartedUnixMs: 1}
}

func replica(target types.TargetID, term types.Term, number types.Position) hold.Report {
	return hold.Report{Target: target, Term: term, End: at(term, number), StartedUnixMs: 1}
}

// promotionOf returns the promotion of the member that reported to an owner at term 3 before.
func promotionOf(before hold.Report) hold.Promotion {
	return hold.Promotion{Target: before.Target, Term: 4, Before: before, Timeline: types.Timeline{{Term: 3}}}
}

// TestPromotionOfAnEarlierOwnerBoundsTheLogs lets another instance own the database after a promotion whose end no owner saw. A log beyond
// the one that was promoted may hold what the promotion dropped, while this owner would know had it asked itself.
func TestPromotionOfAnEarlierOwnerBoundsTheLogs(t *testing.T) {
	recorded := promotionOf(replica("y", 3, 50))
	l := hold.NewLineage(&recorded)
	require.EqualValues(t, 17, l.Timeline(nil).Doubtful(at(3, 67)))
	require.Zero(t, l.Timeline(nil).Doubtful(at(3, 50)))
	require.Zero(t, l.Timeline([]hold.Report{replica("y", 3, 52)}).Doubtful(at(3, 52)), "the target has received more since")
	require.Zero(t, l.Timeline([]hold.Report{replica("z", 4, 90)}).Doubtful(at(4, 90)), "a log of the promoted member's term")

	own := hold.NewLineage(nil)
	own.Opened(primary("x", 3, 60))
	own.Requested(recorded)
	require.Zero(t, own.Timeline(nil).Doubtful(at(3, 67)), "nobody was served in the later term")
	require.EqualValues(t, 17, own.Timeline([]hold.Report{replica("z", 4, 90)}).Doubtful(at(3, 67)), "it has taken effect")

	own.Opened(primary("y", 4, 51))
	require.Equal(t, types.Timeline{{Term: 3}, {Term: 4, Start: 50}}, own.Timeline(nil))
	next := hold.NewLineage(&recorded)
	require.Equal(t, own.Timeline(nil), next.Opened(primary("y", 4, 400)), "an owner that finds the primary later learns its start from the record")
}

// TestUnrecordedPromotionMakesEarlierLogsDoubtful lets an owner find a term of which it has no record, as after a restoration of the store.
func TestUnrecordedPromotionMakesEarlierLogsDoubtful(t *testing.T) {
	l := hold.NewLineage(nil)
	l.Opened(primary("x", 3, 60))
	require.Equal(t, types.Timeline{{Term: 3}, {Term: 5}}, l.Timeline([]hold.Report{replica("z", 5, 10)}))
	require.EqualValues(t, 40, l.Opened(primary("z", 5, 100)).Doubtful(at(3, 40)))
}
