package reach_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"turmericpulley/core/reach"
)

// The load of the replay: a network that is split for seven seconds, with the owner of the database on one side.
const (
	splitInstances  = 60
	splitLength     = 7 * time.Second
	arrivalGap      = 5 * time.Millisecond
	statementLimit  = 800 * time.Millisecond
	callerDeadline  = time.Second
	callerObjective = 300 * time.Millisecond
	callerRetries   = 2
	callerPause     = 40 * time.Millisecond
	serviceLatency  = 20 * time.Millisecond
	// searchInterval is the time between two attempts of the search at an instance that reaches no owner.
	searchInterval = 250 * time.Millisecond
)

// attempt is one try of a caller's request at an instance.
type attempt struct {
	at, arrived time.Duration
	tries       int
}

// replaySplit returns the share of the requests that arrive after the first two seconds of the split and are served within their
// objective. Every other instance reaches the owner. A refused caller comes back at another instance, as the balancer chooses.
func replaySplit(refuseAtOnce bool) float64 {
	c := newManualClock()
	start := c.now
	random := rand.New(rand.NewPCG(1, 2))
	instances := make([]*reach.Owners, splitInstances)
	for i := range instances {
		instances[i] = reach.NewOwners(c.clock())
	}
	var pending []attempt
	for at := time.Duration(0); at < splitLength; at += arrivalGap {
		pending = append(pending, attempt{at: at, arrived: at})
	}
	owed, served := 0, 0
	for now := time.Duration(0); now < splitLength+callerDeadline; now += arrivalGap {
		c.now = start.Add(now)
		var later []attempt
		for _, a := range pending {
			if a.at > now {
				later = append(later, a)
				continue
			}
			counts := a.arrived > 2*time.Second
			if counts && a.tries == 0 {
				owed++
			}
			if now+serviceLatency > a.arrived+callerDeadline {
				continue
			}
			instance := random.IntN(splitInstances)
			if instance%2 == 0 {
				if counts && now+serviceLatency <= a.arrived+callerObjective {
					served++
				}
				continue
			}
			answered := now + statementLimit
			if owners := instances[instance]; refuseAtOnce && owners.Refuse(database) {
				answered = now
			} else {
				owners.RecordFailure(database, c.now)
			}
			if a.tries < callerRetries {
				later = append(later, attempt{at: answered + callerPause, arrived: a.arrived, tries: a.tries + 1})
			}
		}
		pending = later
		if now%searchInterval == 0 {
			for _, owners := range instances {
				if owners.ContinueSearch(database) {
					owners.RecordFailure(database, c.now)
				}
			}
		}
	}
	return float64(served) / float64(owed)
}

// TestSplitNetworkServesCallersOnTheOwnersSide replays callers that meet instances of both sides of a split network. When requests
// wait for an owner until their timeout, no caller that met the wrong side first is served in time.
func TestSplitNetworkServesCallersOnTheOwnersSide(t *testing.T) {
	waiting, refusing := replaySplit(false), replaySplit(true)
	t.Logf("served: %.2f when requests wait, %.2f when they are refused at once", waiting, refusing)
	require.Less(t, waiting, 0.6)
	require.Greater(t, refusing, 0.85, "three tries, each at the owner's side in half of the cases, serve 0.875")
}
