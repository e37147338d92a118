package place_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"turmericpulley/core/place"
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
