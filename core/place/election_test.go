package place_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"turmericpulley/core/place"
)

func TestOnlyMemberWithAllAcknowledgedCommitsIsPromoted(t *testing.T) {
	for name, test := range map[string]struct {
		election place.Election
		want     bool
	}{
		"asynchronous":                                  {place.Election{Members: 2, Answered: 1, LongestLog: position(3), LastAcknowledged: position(9)}, true},
		"one is alive but busy":                         {place.Election{Members: 2, Answered: 1, Busy: 1, WithoutPrimary: time.Second, LongestLog: position(0)}, false},
		"one is alive but busy for long":                {place.Election{Members: 2, Answered: 1, Busy: 1, WithoutPrimary: 6 * time.Second, LongestLog: position(3)}, true},
		"all answered":                                  {place.Election{SyncReplicas: 1, Members: 2, Answered: 2, LongestLog: position(3)}, true},
		"one did not answer and might hold more":        {place.Election{SyncReplicas: 1, Members: 2, Answered: 1, LongestLog: position(8), LastAcknowledged: position(9)}, false},
		"one did not answer, the other holds all":       {place.Election{SyncReplicas: 1, Members: 2, Answered: 1, LongestLog: position(9), LastAcknowledged: position(9)}, true},
		"one did not answer, the owner knows no commit": {place.Election{SyncReplicas: 1, Members: 2, Answered: 1, LongestLog: position(9)}, false},
	} {
		require.Equal(t, test.want, test.election.CanPromote(), name)
	}
}
