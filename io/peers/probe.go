package peers

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"turmericpulley/core/fleet"
	"turmericpulley/io/wire"
)

// errOtherInstance reports that a heartbeat was answered by another instance or incarnation than it was sent to.
var errOtherInstance = errors.New("another instance or incarnation than the expected one responded")

// probe exchanges a heartbeat with the peer over a new connection and returns the session on that connection.
func (n *node) probe(ctx context.Context, peer fleet.Instance) (*session, error) {
	n.counters.Probes.Add(1)
	ctx, cancel := context.WithTimeout(ctx, fleet.ProbeTimeout)
	defer cancel()
	session, err := n.sessions.dial(ctx, peer.PeerAddress)
	if err == nil {
		if err = n.heartbeatOverSession(ctx, session, peer); err == nil {
			return session, nil
		}
		closeQuietly(session)
	}
	n.counters.ProbesFailed.Add(1)
	return nil, err
}

// heartbeatOverSession exchanges one heartbeat with the peer on a new stream of the session.
func (n *node) heartbeatOverSession(ctx context.Context, session *session, peer fleet.Instance) error {
	stream, err := session.OpenStream()
	if err != nil {
		return errors.Wrap(err, "opening a stream")
	}
	defer closeQuietly(stream)
	if err := stream.SetDeadline(deadlineOf(ctx, fleet.ProbeTimeout)); err != nil {
		return errors.Wrap(err, "setting a deadline")
	}
	return n.exchangeHeartbeat(newCodec(stream, n.counters), peer)
}

// exchangeHeartbeat exchanges one heartbeat with the peer and records its response.
func (n *node) exchangeHeartbeat(c *codec, peer fleet.Instance) error {
	sent := time.Now()
	reply, err := exchange(c, heartbeatRequest(n.heartbeat()))
	if err != nil {
		return err
	}
	response := reply.GetHeartbeat()
	if !isFrom(response, peer) {
		return errOtherInstance
	}
	n.recordResponse(peer, sent, response)
	return nil
}

func isFrom(response *wire.Heartbeat, peer fleet.Instance) bool {
	return response.GetSender() == string(peer.ID) && response.GetIncarnation() == uint64(peer.Incarnation)
}
