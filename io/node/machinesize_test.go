package node_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"turmericpulley/core/fleet"
	"turmericpulley/core/types"
	"turmericpulley/io/fakepl"
)

// TestSmallMachineHandsItsDatabaseToALargerOne guards against a database that stays on a machine too slow for it.
func TestSmallMachineHandsItsDatabaseToALargerOne(t *testing.T) {
	const (
		small types.Millicores = 134
		large types.Millicores = 800
	)
	site, err := fakepl.NewPlatform(0)
	require.NoError(t, err)
	defer site.Close()
	site.Configure(1, 1000)
	first := startInstanceOfSize(t, site, "n1", disconnectedDelay, gracePeriod, small)
	awaitWrite(t, first.callers)
	require.Equal(t, "n1", ownerOf(site))
	other := startInstanceOfSize(t, site, "n2", disconnectedDelay, gracePeriod, small)
	second := startInstanceOfSize(t, site, "n3", disconnectedDelay, gracePeriod, large)
	require.Eventually(t, func() bool { return ownerOf(site) == "n3" }, 10*time.Second, 10*time.Millisecond)
	awaitWrite(t, first.callers)
	// At a planned stop a small machine is better than none.
	second.stop()
	require.NotEqual(t, "n3", ownerOf(site))
	awaitWrite(t, other.callers)
}

// TestPlannedStopHandsOverPastLargeMachinesThatAreGone lists two large machines that accept connections and answer nothing. The owner must
// not ask them first in each attempt, until its grace period is over.
func TestPlannedStopHandsOverPastLargeMachinesThatAreGone(t *testing.T) {
	const (
		small types.Millicores = 134
		large types.Millicores = 800
		grace                  = 4 * time.Second
	)
	site, err := fakepl.NewPlatform(0)
	require.NoError(t, err)
	defer site.Close()
	site.Configure(1, 1000)
	first := startInstanceOfSize(t, site, "n1", disconnectedDelay, grace, small)
	awaitWrite(t, first.callers)
	startInstanceOfSize(t, site, "n2", disconnectedDelay, grace, small)
	for _, id := range []types.InstanceID{"gone1", "gone2"} {
		silent := listen(t)
		t.Cleanup(func() { _ = silent.Close() })
		entry, err := json.Marshal(fleet.Instance{
			ID: id, PeerAddress: silent.Addr().String(), DataCentre: "z1", State: fleet.Live, Incarnation: 1, Processor: large,
		})
		require.NoError(t, err)
		site.Store.Put("turmericpulley/instances/"+string(id), entry)
	}
	time.Sleep(discoveryTime)
	require.Equal(t, "n1", ownerOf(site))
	stopped := make(chan struct{})
	go func() { defer close(stopped); first.stop() }()
	// Two of them take a second to fail, once. The instance ends 3.3 s after its signal.
	require.Eventually(t, func() bool { return ownerOf(site) == "n2" }, 2500*time.Millisecond, 10*time.Millisecond)
	<-stopped
}
