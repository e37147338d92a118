package peers_test

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"turmericpulley/core/fleet"
	"turmericpulley/core/types"
	"turmericpulley/io/peers"
	"turmericpulley/io/wire"
)

const payloadBytes = 256

func startPair(b *testing.B) (from, to *peers.Service) {
	b.Helper()
	store := newMemoryStore()
	services := make([]*peers.Service, 0, 2)
	for _, id := range []types.InstanceID{"a", "b"} {
		s, err := peers.New(peers.Settings{
			Self: fleet.Instance{ID: id, PeerAddress: "127.0.0.1:0"}, Region: "region", Store: store,
		})
		require.NoError(b, err)
		b.Cleanup(s.Close)
		services = append(services, s)
	}
	for _, s := range services {
		require.Eventually(b, func() bool { return len(s.Membership().Live()) == 2 }, eventuallyTimeout, pollInterval)
	}
	return services[0], services[1]
}

// BenchmarkTransaction opens a stream, exchanges one frame and closes the stream, in many goroutines over one session.
func BenchmarkTransaction(b *testing.B) {
	from, to := startPair(b)
	to.HandleTransactions(echo)
	payload, ids := make([]byte, payloadBytes), atomic.Uint64{}
	b.ReportAllocs()
	b.SetParallelism(4)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			id := ids.Add(1)
			s, err := from.Open(b.Context(), "b", &wire.Begin{RequestId: id, Database: "orders-db-1", Customer: "desk"})
			if err != nil {
				b.Error(err)
				return
			}
			_ = s.SetDeadline(time.Now().Add(eventuallyTimeout))
			if err := s.Send(&wire.Frame{RequestId: id, Payload: payload}); err != nil {
				b.Error(err)
				return
			}
			if _, err := s.Receive(); err != nil {
				b.Error(err)
				return
			}
			_ = s.Close()
		}
	})
}

// BenchmarkFrames exchanges frames over one open stream.
func BenchmarkFrames(b *testing.B) {
	from, to := startPair(b)
	to.HandleTransactions(echo)
	s, err := from.Open(b.Context(), "b", &wire.Begin{RequestId: 1})
	require.NoError(b, err)
	payload := make([]byte, payloadBytes)
	b.ReportAllocs()
	for b.Loop() {
		if err := s.Send(&wire.Frame{RequestId: 1, Payload: payload}); err != nil {
			b.Fatal(err)
		}
		if _, err := s.Receive(); err != nil {
			b.Fatal(err)
		}
	}
	_ = s.Close()
}
