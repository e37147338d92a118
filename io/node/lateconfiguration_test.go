package node_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"turmericpulley/io/fakepl"
)

const (
	// largeDataCentre is the number of instances in a data centre of the largest fleets whose changes must be in force within
	// largeFleetDeadline.
	largeDataCentre    = 38
	largeFleetDeadline = 5 * time.Second
)

// TestConfirmedChangeIsInForceInTimeInALargeDataCentre guards against instances that wait too long for their turn to read the store.
func TestConfirmedChangeIsInForceInTimeInALargeDataCentre(t *testing.T) {
	for name, extraRoutes := range map[string]int{"both readers are disconnected from the store": 0, "readers do not send a large one": 600} {
		t.Run(name, func(t *testing.T) {
			site, err := fakepl.NewPlatform(0)
			require.NoError(t, err)
			defer site.Close()
			site.Configure(1, 1000)
			all := newDataCentre(t, site, largeDataCentre)
			if extraRoutes == 0 {
				for _, r := range readersOf(all) {
					r.disconnected.Store(true)
				}
			}
			names := []string{"late"}
			for k := range extraRoutes {
				names = append(names, fmt.Sprintf("large%d", k))
			}
			site.Configure(2, 1000, names...)
			changed := time.Now()
			for _, i := range all {
				if i.disconnected.Load() {
					continue
				}
				require.Eventually(t, func() bool { return fakepl.SessionOpens(i.callers, "late") }, time.Until(changed.Add(largeFleetDeadline)),
					10*time.Millisecond, "%s after %s", i.id, time.Since(changed))
			}
			t.Logf("in force everywhere after %s", time.Since(changed))
		})
	}
}
