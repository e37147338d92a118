package peers_test

import (
	"bytes"
	"context"
	"encoding/binary"
	"io"
	"net"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/stretchr/testify/require"

	"turmericpulley/core/fault"
	"turmericpulley/core/fleet"
	"turmericpulley/io/peers"
	"turmericpulley/io/wire"
)

// echo sends each frame back.
func echo(_ context.Context, _ *wire.Begin, s peers.Stream) {
	for {
		frame, err := s.Receive()
		if err != nil || s.Send(frame) != nil {
			return
		}
	}
}

func TestTransactionsAreForwardedBetweenInstances(t *testing.T) {
	c := newCluster(t, 2)
	from, to := c.services[0], c.services[1]
	_, err := from.Open(t.Context(), "unlisted", &wire.Begin{})
	require.Equal(t, fault.NoOwner, fault.From(err).Kind)

	refused, err := from.Open(t.Context(), to.Self().ID, &wire.Begin{RequestId: 5})
	require.NoError(t, err)
	frame, err := refused.Receive()
	require.NoError(t, err)
	require.Equal(t, string(fault.NoOwner), frame.GetOutcome().GetRefusal().GetKind())
	_, err = refused.Receive()
	require.Equal(t, io.EOF, err)

	to.HandleTransactions(echo)
	goroutines := sync.WaitGroup{}
	for id := uint64(1); id <= 50; id++ {
		goroutines.Go(func() {
			s, err := from.Open(t.Context(), to.Self().ID, &wire.Begin{RequestId: id})
			if err != nil {
				t.Error(err)
				return
			}
			payload := bytes.Repeat([]byte{byte(id)}, int(id)*10_000)
			for range 3 {
				if err := s.Send(&wire.Frame{RequestId: id, Payload: payload}); err != nil {
					t.Error(err)
				}
				got, err := s.Receive()
				if err != nil || !bytes.Equal(payload, got.GetPayload()) {
					t.Errorf("request %d got a different response: %v", id, err)
				}
			}
			_ = s.Close()
		})
	}
	goroutines.Wait()
	require.Equal(t, uint64(51), to.Counters().StreamsServed.Load())
}

func TestFramesOfOtherRequestsEndTheStream(t *testing.T) {
	c := newCluster(t, 2)
	from, to := c.services[0], c.services[1]
	to.HandleTransactions(func(_ context.Context, _ *wire.Begin, s peers.Stream) { _, _ = s.Receive() })
	s, err := from.Open(t.Context(), to.Self().ID, &wire.Begin{RequestId: 7})
	require.NoError(t, err)
	require.Equal(t, fault.ProtocolViolation, fault.From(s.Send(&wire.Frame{RequestId: 8})).Kind)
	require.Equal(t, uint64(1), from.Counters().RequestMismatches.Load())
	require.Error(t, s.Send(&wire.Frame{RequestId: 7}))

	a, b := peers.Pipe(7)
	require.Error(t, a.Send(&wire.Frame{RequestId: 8}))
	_, err = b.Receive()
	require.Equal(t, io.EOF, err)
}

func TestMalformedMessagesEndTheSession(t *testing.T) {
	c := newCluster(t, 1)
	oversized := binary.BigEndian.AppendUint32(nil, 16<<20+1)
	garbage := append(binary.BigEndian.AppendUint32(nil, 4), 0xff, 0xff, 0xff, 0xff)
	for index, message := range [][]byte{oversized, garbage} {
		conn, err := net.Dial("tcp", c.services[0].Address())
		require.NoError(t, err)
		settings := yamux.DefaultConfig()
		settings.LogOutput = io.Discard
		session, err := yamux.Client(conn, settings)
		require.NoError(t, err)
		stream, err := session.Open()
		require.NoError(t, err)
		// The session may end before the write returns.
		_, _ = stream.Write(message)
		require.Eventually(t, session.IsClosed, eventuallyTimeout, pollInterval)
		require.Equal(t, uint64(index+1), c.services[0].Counters().ProtocolViolations.Load())
		_ = session.Close()
	}
}

func TestOversizedFrameIsNotSent(t *testing.T) {
	c := newCluster(t, 2)
	s, err := c.services[0].Open(t.Context(), c.services[1].Self().ID, &wire.Begin{RequestId: 1})
	require.NoError(t, err)
	defer func() { _ = s.Close() }()
	err = s.Send(&wire.Frame{RequestId: 1, Payload: make([]byte, 16<<20)})
	require.Equal(t, fault.ProtocolViolation, fault.From(err).Kind)
}

func TestReceiveEndsAtTheDeadlineWhenThePeerIsUnresponsive(t *testing.T) {
	c := newCluster(t, 2)
	from, to := c.services[0], c.services[1]
	to.HandleTransactions(echo)
	s, err := from.Open(t.Context(), to.Self().ID, &wire.Begin{RequestId: 1})
	require.NoError(t, err)
	require.NoError(t, s.SetDeadline(time.Now().Add(200*time.Millisecond)))
	require.NoError(t, s.Send(&wire.Frame{RequestId: 1}))
	_, err = s.Receive()
	require.NoError(t, err)
	c.proxy(from.Self().ID, to.Self().PeerAddress).dropTraffic()
	require.NoError(t, s.Send(&wire.Frame{RequestId: 1}))
	_, err = s.Receive()
	var timeout net.Error
	require.ErrorAs(t, err, &timeout)
	require.True(t, timeout.Timeout())
	_ = s.Close()
}

func TestPipeWaitsEndAtTheDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := peers.Pipe(1)
		require.NoError(t, a.SetDeadline(time.Now().Add(time.Second)))
		started := time.Now()
		_, err := a.Receive()
		require.ErrorIs(t, err, os.ErrDeadlineExceeded)
		require.Equal(t, time.Second, time.Since(started))
		require.ErrorIs(t, a.Send(&wire.Frame{RequestId: 1}), os.ErrDeadlineExceeded)

		require.NoError(t, a.SetDeadline(time.Time{}))
		sent := 0
		time.AfterFunc(time.Minute, func() { _ = a.SetDeadline(time.Now()) })
		for err = nil; err == nil; {
			if err = a.Send(&wire.Frame{RequestId: 1}); err == nil {
				sent++
			}
		}
		require.ErrorIs(t, err, os.ErrDeadlineExceeded, "a deadline set during a wait ends it")
		require.NoError(t, a.Close())
		for range sent {
			_, err = b.Receive()
			require.NoError(t, err, "frames sent before Close arrive")
		}
		_, err = b.Receive()
		require.ErrorIs(t, err, io.EOF)
		require.ErrorIs(t, b.Send(&wire.Frame{RequestId: 1}), io.ErrClosedPipe)
	})
}

// peerWithoutHeartbeats returns an instance and another to which it sends no heartbeats. The other echoes transactions.
func (c *cluster) peerWithoutHeartbeats() (from, to *peers.Service) {
	c.t.Helper()
	from = c.services[0]
	for _, other := range c.services[1:] {
		if !fleet.ContainsID(from.Membership().HeartbeatPeers(from.Self().ID), other.Self().ID) {
			to = other
		}
	}
	require.NotNil(c.t, to, "ten others, eight of which get heartbeats")
	to.HandleTransactions(echo)
	return from, to
}

// exchangeOnce opens a stream and exchanges one frame within a second.
func exchangeOnce(t *testing.T, from, to *peers.Service) peers.Stream {
	t.Helper()
	s, err := from.Open(t.Context(), to.Self().ID, &wire.Begin{RequestId: 1})
	require.NoError(t, err)
	require.NoError(t, s.SetDeadline(time.Now().Add(time.Second)))
	require.NoError(t, s.Send(&wire.Frame{RequestId: 1}))
	_, err = s.Receive()
	require.NoError(t, err)
	return s
}

func TestUnresponsiveIdleSessionIsReplacedBeforeUse(t *testing.T) {
	c := newCluster(t, 11)
	from, to := c.peerWithoutHeartbeats()
	require.NoError(t, exchangeOnce(t, from, to).Close())
	time.Sleep(1100 * time.Millisecond)
	c.proxy(from.Self().ID, to.Self().PeerAddress).dropTraffic()
	require.NoError(t, exchangeOnce(t, from, to).Close())
}

func TestUnresponsiveSessionInUseIsClosedWithoutHeartbeats(t *testing.T) {
	c := newCluster(t, 11)
	from, to := c.peerWithoutHeartbeats()
	s := exchangeOnce(t, from, to)
	require.NoError(t, s.SetDeadline(time.Now().Add(eventuallyTimeout)))
	c.proxy(from.Self().ID, to.Self().PeerAddress).dropTraffic()
	started := time.Now()
	_, err := s.Receive()
	require.Error(t, err)
	t.Logf("ended after %s", time.Since(started))
	require.Less(t, time.Since(started), 3*time.Second)
	closed := from.Counters().SessionsUnresponsive.Load() + to.Counters().SessionsUnresponsive.Load()
	require.NotZero(t, closed, "the end that detects it first closes it for both")
	_ = s.Close()
}
