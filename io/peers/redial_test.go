package peers_test

import (
	"context"
	"net"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestRefusalIsReportedToAllCallers opens two channels to a port that nobody listens on. The second attempt does not dial, and has to
// fail with the refusal too: a candidate that did not learn of it took 1.2 s more to find a killed owner dead.
func TestRefusalIsReportedToAllCallers(t *testing.T) {
	client, _, _ := newTransports(t)
	unused, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, unused.Close())
	for range 2 {
		_, err = client.Open(t.Context(), unused.Addr().String())
		require.ErrorIs(t, err, syscall.ECONNREFUSED)
	}
	require.ErrorContains(t, err, "recent attempt")
	require.Zero(t, client.Counters().SessionsDialled.Load())
}

// TestCancelledDialIsNotReportedToOthers ends the context of the first of two callers. The second one must not take that for its own.
func TestCancelledDialIsNotReportedToOthers(t *testing.T) {
	client, address, _ := newTransports(t)
	ended, end := context.WithCancel(t.Context())
	end()
	_, err := client.Open(ended, address)
	require.ErrorIs(t, err, context.Canceled)
	_, err = client.Open(t.Context(), address)
	require.NotErrorIs(t, err, context.Canceled)
}
