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

// TestOldPrimaryIsNotUsedWhileAPromotionMayHaveTakenEffect guards against writes at a primary that the platform has replaced: absence,
// silence and a new start of the promoted member prove nothing.
func TestOldPrimaryIsNotUsedWhileAPromotionMayHaveTakenEffect(t *testing.T) {
	recorded := promotionOf(replica("y", 3, 50))
	restarted := replica("y", 0, 0)
	restarted.StartedUnixMs = 2
	for name, test := range map[string]struct {
		reports []hold.Report
		usable  bool
	}{
		"its target is gone":                       {nil, false},
		"its target has started again":             {[]hold.Report{restarted}, false},
		"its target has lost its log":              {[]hold.Report{replica("y", 3, 0)}, false},
		"its target's log is at another member":    {[]hold.Report{replica("z", 3, 50)}, false},
		"its target follows a later primary":       {[]hold.Report{replica("y", 4, 50)}, false},
		"its target runs on as a replica":          {[]hold.Report{replica("y", 3, 52)}, true},
		"its target runs on, at a log of the past": {[]hold.Report{{Target: "y", Term: 3, End: at(2, 50), StartedUnixMs: 1}}, true},
	} {
		for _, requested := range []bool{false, true} {
			l := hold.NewLineage(&recorded)
			if requested {
				l = hold.NewLineage(nil)
				l.Opened(primary("x", 3, 60))
				l.Requested(recorded)
			}
			require.False(t, l.MayUse(primary("x", 3, 60)), name)
			l.Refute(test.reports)
			require.Equal(t, test.usable, l.MayUse(primary("x", 3, 60)), name)
			require.True(t, l.MayUse(primary("y", 4, 50)) || test.usable, name)
			require.True(t, l.MayUse(primary("x", 5, 60)), "%s: promoted to a term above", name)
		}
	}
}

// TestDoubtOutlastsTheOwnerAndTheNextPromotion guards against the same when the next promotion fails: the record of the first one is
// replaced, and the promotion that replaces it has no effect.
func TestDoubtOutlastsTheOwnerAndTheNextPromotion(t *testing.T) {
	recorded := promotionOf(replica("y", 3, 50))
	for _, inherited := range []bool{false, true} {
		l := hold.NewLineage(&recorded)
		if !inherited {
			l = hold.NewLineage(nil)
			l.Opened(primary("x", 3, 60))
			l.Requested(recorded)
		}
		reports := []hold.Report{primary("x", 3, 60)}
		next := hold.Promotion{Target: "x", Term: 5, Before: reports[0], Timeline: l.NextRecord(reports)}
		for _, later := range []*hold.Lineage{l, hold.NewLineage(&next)} {
			if later == l {
				l.Requested(next)
			}
			later.Refute(reports)
			require.False(t, later.HasOpenPromotion())
			require.False(t, later.MayUse(reports[0]), "the promotion of y may still have taken effect")
			require.True(t, later.MayUse(primary("x", 5, 60)))
		}
	}
}

// TestPlatformConfirmsItsPresentPrimary lets the old primary serve on when the platform accepts its promotion and changes nothing.
func TestPlatformConfirmsItsPresentPrimary(t *testing.T) {
	recorded := promotionOf(replica("y", 3, 50))
	l := hold.NewLineage(&recorded)
	reports := []hold.Report{primary("x", 3, 60)}
	next := hold.Promotion{Target: "x", Term: 5, Before: reports[0], Timeline: l.NextRecord(reports)}
	l.Requested(next)
	require.False(t, next.ConfirmsPresent(primary("x", 5, 60)))
	require.False(t, next.ConfirmsPresent(replica("x", 3, 60)))
	require.False(t, recorded.ConfirmsPresent(primary("y", 3, 60)), "it was a replica")
	require.True(t, next.ConfirmsPresent(primary("x", 3, 61)))
	l.Opened(primary("x", 3, 61))
	require.True(t, l.MayUse(primary("x", 3, 61)))
	require.Equal(t, types.Timeline{{Term: 3}}, l.Timeline(nil))
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

// TestPrimaryThatHasNotWrittenTellsWhereItsTermBegan lets the promoted member receive more between the election and its promotion. The other
// replica, which received the same, must not be taken for one with dropped commits.
func TestPrimaryThatHasNotWrittenTellsWhereItsTermBegan(t *testing.T) {
	recorded := promotionOf(replica("y", 3, 50))
	unwritten := hold.Report{Target: "y", Primary: true, Term: 4, End: at(3, 52), StartedUnixMs: 1}
	require.Zero(t, hold.NewLineage(&recorded).Opened(unwritten).Doubtful(at(3, 52)))
	require.EqualValues(t, 1, hold.NewLineage(&recorded).Opened(unwritten).Doubtful(at(3, 53)))
	require.Equal(t, types.Timeline{{Term: 3}, {Term: 4, Start: 52}}, hold.NewLineage(nil).Opened(unwritten), "without a record")
}

// TestUnrecordedPromotionMakesEarlierLogsDoubtful lets an owner find a term of which it has no record, as after a restoration of the store.
func TestUnrecordedPromotionMakesEarlierLogsDoubtful(t *testing.T) {
	l := hold.NewLineage(nil)
	l.Opened(primary("x", 3, 60))
	require.Equal(t, types.Timeline{{Term: 3}, {Term: 5}}, l.Timeline([]hold.Report{replica("z", 5, 10)}))
	require.EqualValues(t, 40, l.Opened(primary("z", 5, 100)).Doubtful(at(3, 40)))
	voided := promotionOf(replica("y", 3, 50)).Voided(l.Timeline(nil))
	require.True(t, hold.NewLineage(&voided).MayUse(primary("z", 5, 100)))
	require.False(t, hold.NewLineage(&voided).HasOpenPromotion())
	require.False(t, hold.NewLineage(&voided).MayUse(primary("x", 3, 60)), "a later term has been served")
}
