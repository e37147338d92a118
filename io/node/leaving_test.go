package node_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"turmericpulley/io/fakepl"
)

// drainLimit is the time from its notice for which a leaving member may be used.
const drainLimit = 7 * time.Second

// TestLeavingPrimaryIsNotUsedForLongWhenItsReplacementFails lets the primary announce that it leaves while the platform refuses every
// promotion. The primary serves on, but not for longer than a leaving member may be used; afterwards it gets no statements.
func TestLeavingPrimaryIsNotUsedForLongWhenItsReplacementFails(t *testing.T) {
	site, err := fakepl.NewPlatform(0)
	require.NoError(t, err)
	defer site.Close()
	site.Configure(1, 300)
	instance := startInstance(t, site, "n1")
	awaitWrite(t, instance.callers)
	time.Sleep(discoveryTime)
	promote := site.Store.Promote
	site.Store.Promote = func(string, uint64, string, string) int { return http.StatusConflict }
	site.Group.Member("i-1").Drain()
	announced := time.Now()
	var lastServed time.Time
	for time.Since(announced) < drainLimit+time.Second {
		if fakepl.StatementSucceeds(instance.callers, "primary", "WRITE a 1") {
			lastServed = time.Now()
		}
	}
	t.Logf("served last %s after the notice", lastServed.Sub(announced))
	require.Greater(t, lastServed.Sub(announced), 2*time.Second)
	require.Less(t, lastServed.Sub(announced), drainLimit)
	site.Store.Promote = promote
	awaitWrite(t, instance.callers)
	require.NotEqual(t, "i-1", site.Group.Primary())
}
