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

// TestLargeConfigurationIsInForceInTimeOnSlowLinks guards against instances that give up the store's answer because it takes long, and begin
// the same read again. The answer has a megabyte, and the links are those of the smallest machines.
func TestLargeConfigurationIsInForceInTimeOnSlowLinks(t *testing.T) {
	const count, routes, bytesPerSecond = 12, 5000, 1_250_000
	site, err := fakepl.NewPlatform(0)
	require.NoError(t, err)
	defer site.Close()
	names := make([]string, 0, routes+1)
	for i := range routes {
		names = append(names, fmt.Sprintf("large%d", i))
	}
	site.Configure(1, 1000, names...)
	all := newFleet(t, site, count, place{"z1", bytesPerSecond})
	site.Configure(2, 1000, append(names, "late")...)
	requireInForce(t, all, "late", largeFleetDeadline)
}

// TestInstanceThatStartsGetsTheConfigurationFromAReader guards against fleets that fill the store's link when they start together.
func TestInstanceThatStartsGetsTheConfigurationFromAReader(t *testing.T) {
	const count, routes = 11, 1200
	site, err := fakepl.NewPlatform(0)
	require.NoError(t, err)
	defer site.Close()
	names := make([]string, 0, routes)
	for i := range routes {
		names = append(names, fmt.Sprintf("large%d", i))
	}
	all := newDataCentre(t, site, count)
	site.Configure(2, 1000, names...)
	requireInForce(t, all, names[0], configurationDeadline)
	late := startInstance(t, site, "late")
	requireInForce(t, []*testInstance{late}, names[0], configurationDeadline)
	require.Less(t, late.storeBytes.Load(), int64(len(site.Store.Value("op/config"))), "read from the store")
}

// TestConfigurationReachesADataCentreWithoutTheStore guards against instances that ask only their neighbours, which have no store either.
func TestConfigurationReachesADataCentreWithoutTheStore(t *testing.T) {
	const count = 11
	site, err := fakepl.NewPlatform(0)
	require.NoError(t, err)
	defer site.Close()
	site.Configure(1, 1000)
	all := newFleet(t, site, count, place{dataCentre: "z1"}, place{dataCentre: "z2"})
	for _, i := range all[count:] {
		i.disconnected.Store(true)
	}
	site.Configure(2, 1000, "late")
	requireInForce(t, all, "late", configurationDeadline)
}

// requireInForce requires that the route is known to all instances within the limit from now.
func requireInForce(t *testing.T, all []*testInstance, route string, limit time.Duration) {
	t.Helper()
	changed := time.Now()
	for _, i := range all {
		require.Eventually(t, func() bool { return fakepl.SessionOpens(i.callers, route) }, time.Until(changed.Add(limit)),
			10*time.Millisecond, "%s after %s", i.id, time.Since(changed))
	}
	t.Logf("in force everywhere after %s", time.Since(changed))
}

// TestConfirmedChangeIsInForceInTimeInALargeDataCentre guards against instances that wait too long for their turn to read the store.
func TestConfirmedChangeIsInForceInTimeInALargeDataCentre(t *testing.T) {
	for name, extraRoutes := range map[string]int{"both readers are disconnected from the store": 0, "a large one": 600} {
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
