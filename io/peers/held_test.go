package peers_test

import (
	"bytes"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"turmericpulley/io/wire"
)

// TestNoMessageIsHeldBack sends short frames of every length; a body that looks like a header goes out at once too.
func TestNoMessageIsHeldBack(t *testing.T) {
	c := newCluster(t, 2)
	from, to := c.services[0], c.services[1]
	to.HandleTransactions(echo)
	s, err := from.Open(t.Context(), to.Self().ID, &wire.Begin{RequestId: 1})
	require.NoError(t, err)
	const tries = 9
	for length := range 24 {
		spans := make([]time.Duration, 0, tries)
		for range tries {
			began := time.Now()
			require.NoError(t, s.Send(&wire.Frame{RequestId: 1, Payload: bytes.Repeat([]byte{'x'}, length)}))
			_, err := s.Receive()
			require.NoError(t, err)
			spans = append(spans, time.Since(began))
		}
		slices.Sort(spans)
		require.Less(t, spans[tries/2], 50*time.Millisecond, "payload of %d bytes", length)
	}
}
