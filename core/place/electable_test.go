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
		"asynchronous":                           {place.Election{Members: 2, Answered: 1, Longest: at(3), Acknowledged: at(9)}, true},
		"one is alive but busy":                  {place.Election{Members: 2, Answered: 1, Silent: 1, Waited: time.Second, Longest: at(0)}, false},
		"one is alive but busy for long":         {place.Election{Members: 2, Answered: 1, Silent: 1, Waited: 6 * time.Second, Longest: at(3)}, true},
		"all answered":                           {place.Election{SyncReplicas: 1, Members: 2, Answered: 2, Longest: at(3)}, true},
		"one is silent and might hold more":      {place.Election{SyncReplicas: 1, Members: 2, Answered: 1, Longest: at(8), Acknowledged: at(9)}, false},
		"one is silent, the other holds all":     {place.Election{SyncReplicas: 1, Members: 2, Answered: 1, Longest: at(9), Acknowledged: at(9)}, true},
		"one is silent, the owner knows nothing": {place.Election{SyncReplicas: 1, Members: 2, Answered: 1, Longest: at(9)}, false},
	} {
		require.Equal(t, test.want, test.election.Electable(), name)
	}
}
