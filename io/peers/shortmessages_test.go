package peers_test

import (
	"bytes"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"turmericpulley/io/wire"
)

// TestShortMessagesAreSentWithoutDelay sends frames with payloads of 0 to 23 bytes. A message that is as long as a
// yamux header must not be taken for one and held back until the next write.
func TestShortMessagesAreSentWithoutDelay(t *testing.T) {
	c := newCluster(t, 2)
	from, to := c.services[0], c.services[1]
	to.HandleTransactions(echo)
	s, err := from.Open(t.Context(), to.Self().ID, &wire.Begin{RequestId: 1})
	require.NoError(t, err)
	const tries = 9
	for length := range 24 {
		durations := make([]time.Duration, 0, tries)
		for range tries {
			started := time.Now()
			require.NoError(t, s.Send(&wire.Frame{RequestId: 1, Payload: bytes.Repeat([]byte{'x'}, length)}))
			_, err := s.Receive()
			require.NoError(t, err)
			durations = append(durations, time.Since(started))
		}
		slices.Sort(durations)
		require.Less(t, durations[tries/2], 50*time.Millisecond, "payload of %d bytes", length)
	}
}
