package node_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"turmericpulley/io/fakepl"
)

// TestFleetCallsAbsentStoreSeldom lets the store refuse all calls for some seconds, and requires that the calls do not grow with
// the number of instances. Then all instances must learn of a change within the limit.
func TestFleetCallsAbsentStoreSeldom(t *testing.T) {
	site, err := fakepl.NewPlatform(0)
	require.NoError(t, err)
	defer site.Close()
	site.Configure(1, 1000)
	all := newDataCentre(t, site, 40)
	before := site.Store.Calls()
	const outage = 7 * time.Second
	site.Store.ForceStatus(http.StatusServiceUnavailable)
	time.Sleep(outage)
	calls := float64(site.Store.Calls()-before) / outage.Seconds()
	t.Logf("%.1f calls to the store per second", calls)
	// The followers read the store 12 times a second together, the two readers, the owner and its standby a few times. When each
	// follower reads the configuration and the fleet by itself, at least once a second, they alone make 80.
	require.Less(t, calls, 30.0)
	site.Store.ForceStatus(0)
	site.Configure(2, 1000, "late")
	changed := time.Now()
	for _, i := range all {
		require.Eventually(t, func() bool { return fakepl.SessionOpens(i.callers, "late") }, time.Until(changed.Add(configurationDeadline)), 10*time.Millisecond,
			"%s after %s", i.callers, time.Since(changed))
	}
}
