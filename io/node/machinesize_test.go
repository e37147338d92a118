package node_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

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
