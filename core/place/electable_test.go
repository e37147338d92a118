package place_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"turmericpulley/core/place"
)

func TestOnlyAMemberWithAllAcknowledgedCommitsIsElected(t *testing.T) {
	for name, test := range map[string]struct {
		election place.Election
		want     bool
	}{
		"asynchronous":                           {place.Election{Members: 2, Answered: 1, LongestLog: at(3), LastAcknowledged: at(9)}, true},
		"one is alive but busy":                  {place.Election{Members: 2, Answered: 1, Busy: 1, WithoutPrimary: time.Second, LongestLog: at(0)}, false},
		"one is alive but busy for long":         {place.Election{Members: 2, Answered: 1, Busy: 1, WithoutPrimary: 6 * time.Second, LongestLog: at(3)}, true},
		"all answered":                           {place.Election{SyncReplicas: 1, Members: 2, Answered: 2, LongestLog: at(3)}, true},
		"one is silent and might hold more":      {place.Election{SyncReplicas: 1, Members: 2, Answered: 1, LongestLog: at(8), LastAcknowledged: at(9)}, false},
		"one is silent, the other holds all":     {place.Election{SyncReplicas: 1, Members: 2, Answered: 1, LongestLog: at(9), LastAcknowledged: at(9)}, true},
		"one is silent, the owner knows nothing": {place.Election{SyncReplicas: 1, Members: 2, Answered: 1, LongestLog: at(9)}, false},
	} {
		require.Equal(t, test.want, test.election.CanPromote(), name)
	}
}
