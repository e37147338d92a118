package place_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"turmericpulley/core/place"
	"turmericpulley/core/types"
)

// staying and leaving return candidates whose logs end at the numbers.
func staying(numbers ...int) []place.Candidate { return candidates(false, numbers) }

func leaving(numbers ...int) []place.Candidate { return candidates(true, numbers) }

func candidates(leaves bool, numbers []int) []place.Candidate {
	all := make([]place.Candidate, 0, len(numbers))
	for _, n := range numbers {
		all = append(all, place.Candidate{Leaving: leaves, Log: position(n)})
	}
	return all
}

func TestOnlyMemberWithAllAcknowledgedCommitsIsPromoted(t *testing.T) {
	for name, test := range map[string]struct {
		election place.Election
		want     bool
	}{
		"asynchronous":                                  {place.Election{Members: 2, Candidates: staying(3), LastAcknowledged: position(9)}, true},
		"one is alive but busy":                         {place.Election{Members: 2, Candidates: staying(0), Busy: 1, WithoutPrimary: time.Second}, false},
		"one is alive but busy for long":                {place.Election{Members: 2, Candidates: staying(3), Busy: 1, WithoutPrimary: 6 * time.Second}, true},
		"all answered":                                  {place.Election{SyncReplicas: 1, Members: 2, Candidates: staying(3, 2)}, true},
		"one did not answer and might hold more":        {place.Election{SyncReplicas: 1, Members: 2, Candidates: staying(8), LastAcknowledged: position(9)}, false},
		"one did not answer, the other holds all":       {place.Election{SyncReplicas: 1, Members: 2, Candidates: staying(9), LastAcknowledged: position(9)}, true},
		"one did not answer, the owner knows no commit": {place.Election{SyncReplicas: 1, Members: 2, Candidates: staying(9)}, false},
		"all answered, a commit is in none of the logs": {place.Election{SyncReplicas: 1, Members: 2, Candidates: staying(8, 7), LastAcknowledged: position(9), WithoutPrimary: time.Second}, false},
		"a commit is in none of the logs for long":      {place.Election{SyncReplicas: 1, Members: 2, Candidates: staying(8, 7), LastAcknowledged: position(9), WithoutPrimary: 11 * time.Second}, true},
		"planned, a commit is in no log for long":       {place.Election{SyncReplicas: 1, Planned: true, Members: 2, Candidates: staying(8, 7), LastAcknowledged: position(9), WithoutPrimary: 11 * time.Second}, false},
		"planned, the log of one that leaves is longer": {place.Election{SyncReplicas: 1, Planned: true, Members: 2, Candidates: append(leaving(9), staying(8)...)}, false},
	} {
		best, found := test.election.Best()
		require.True(t, found, name)
		require.Equal(t, test.want, test.election.CanPromote(best), name)
	}
}

// TestPreferenceForMembersThatStayDoesNotLoseCommits guards against the promotion of a member that lacks acknowledged commits only
// because the one that holds them leaves.
func TestPreferenceForMembersThatStayDoesNotLoseCommits(t *testing.T) {
	for name, test := range map[string]struct {
		election place.Election
		want     place.Candidate
	}{
		"synchronous, the one that leaves holds more": {place.Election{SyncReplicas: 1, Candidates: append(leaving(9), staying(8)...)}, leaving(9)[0]},
		"synchronous, equal logs":                     {place.Election{SyncReplicas: 1, Candidates: append(leaving(9), staying(9)...)}, staying(9)[0]},
		"synchronous, the one that stays holds more":  {place.Election{SyncReplicas: 1, Candidates: append(staying(9), leaving(8)...)}, staying(9)[0]},
		"planned":                  {place.Election{SyncReplicas: 1, Planned: true, Candidates: append(leaving(9), staying(8, 7)...)}, staying(8)[0]},
		"asynchronous":             {place.Election{Candidates: append(leaving(9), staying(7, 8)...)}, staying(8)[0]},
		"asynchronous, all leave":  {place.Election{Candidates: leaving(7, 9, 8)}, leaving(9)[0]},
		"asynchronous and planned": {place.Election{Planned: true, Candidates: leaving(7, 9)}, leaving(9)[0]},
	} {
		best, found := test.election.Best()
		require.True(t, found, name)
		require.Equal(t, test.want, best, name)
	}
	_, found := place.Election{SyncReplicas: 1, Planned: true, Candidates: leaving(9)}.Best()
	require.False(t, found, "a planned replacement by a member that leaves")
}

// dropped is a history in which term 2 began at 94, so that a log of term 1 that ends beyond it holds commits that were dropped.
func dropped() types.Timeline {
	return types.Timeline{}.With(1, types.LogPosition{}).With(2, types.LogPosition{Term: 1, Number: 94})
}

// unknownStart is a history in which it is not known where term 2 began.
func unknownStart() types.Timeline { return types.Timeline{}.With(2, types.LogPosition{}) }

// TestLogWithDroppedCommitsIsNotPreferredForItsLength guards against the return of commits that an earlier promotion dropped, and against
// the loss of acknowledged ones because a log that holds them is taken for dropped.
func TestLogWithDroppedCommitsIsNotPreferredForItsLength(t *testing.T) {
	for name, test := range map[string]struct {
		election place.Election
		best     int
		promote  bool
	}{
		"asynchronous":                              {place.Election{Timeline: dropped(), Candidates: staying(167, 94)}, 94, true},
		"asynchronous, the other one lacks more":    {place.Election{Timeline: dropped(), Candidates: staying(167, 50)}, 50, true},
		"asynchronous, the other one leaves":        {place.Election{Timeline: dropped(), Candidates: append(staying(167), leaving(94)...)}, 94, true},
		"asynchronous, the other one is empty":      {place.Election{Timeline: dropped(), Candidates: staying(167, 0)}, 167, false},
		"asynchronous, no other one":                {place.Election{Timeline: dropped(), Candidates: staying(167), WithoutPrimary: 9 * time.Second}, 167, false},
		"asynchronous, no other one for long":       {place.Election{Timeline: dropped(), Candidates: staying(167), WithoutPrimary: 11 * time.Second}, 167, true},
		"asynchronous, only dropped ones":           {place.Election{Timeline: dropped(), Candidates: staying(167, 99), WithoutPrimary: 11 * time.Second}, 99, true},
		"asynchronous, where it began is unknown":   {place.Election{Timeline: unknownStart(), Candidates: staying(167, 94)}, 94, false},
		"synchronous":                               {place.Election{SyncReplicas: 1, Timeline: dropped(), Members: 2, Candidates: staying(167, 94)}, 94, true},
		"synchronous, it alone holds acknowledged":  {place.Election{SyncReplicas: 1, Timeline: dropped(), Members: 2, Candidates: staying(167, 50)}, 167, true},
		"synchronous, where it began is unknown":    {place.Election{SyncReplicas: 1, Timeline: unknownStart(), Members: 2, Candidates: staying(167, 94)}, 167, true},
		"synchronous, the bound was dropped":        {place.Election{SyncReplicas: 1, Timeline: dropped(), Members: 2, Candidates: staying(94), LastAcknowledged: position(99)}, 94, true},
		"synchronous, the bound is in force":        {place.Election{SyncReplicas: 1, Timeline: dropped(), Members: 2, Candidates: staying(90), LastAcknowledged: position(94)}, 90, false},
		"synchronous, acknowledged in the new term": {place.Election{SyncReplicas: 1, Timeline: dropped(), Members: 2, Candidates: staying(167, 94), LastAcknowledged: types.LogPosition{Term: 2, Number: 95}}, 94, false},
	} {
		best, found := test.election.Best()
		require.True(t, found, name)
		require.Equal(t, position(test.best), best.Log, name)
		require.Equal(t, test.promote, test.election.CanPromote(best), name)
	}
}

// TestLogOfTheNewTermIsPreferredToADroppedOne compares a log that a promoted primary has extended with one of the term before.
func TestLogOfTheNewTermIsPreferredToADroppedOne(t *testing.T) {
	for _, syncReplicas := range []int{0, 1} {
		extended := place.Candidate{Log: types.LogPosition{Term: 2, Number: 95}}
		best, _ := place.Election{SyncReplicas: syncReplicas, Timeline: dropped(), Candidates: append(staying(167, 94), extended)}.Best()
		require.Equal(t, extended, best)
	}
}
