package node

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"

	"turmericpulley/core/fleet"
	"turmericpulley/io/peers"
	"turmericpulley/io/wire"
)

// pinger pings one instance over a channel that stays open. It must be used by one goroutine only.
type pinger struct {
	channel *peers.Channel
	address string
}

// ping reports whether the instance at the address answers, and its incarnation. If the open channel turns out to have ended,
// ping opens a new one and tries again. If no answer arrives in time, ping closes the channel; the next ping opens a new one.
func (p *pinger) ping(ctx context.Context, n *Node, address string) (fleet.Incarnation, error) {
	deadline := time.Now().Add(pingTimeout)
	if p.address != address {
		p.close()
	}
	var err error
	for range 2 {
		reused := p.channel != nil
		var incarnation fleet.Incarnation
		if incarnation, err = p.sendPing(ctx, n, address, deadline); err == nil {
			return incarnation, nil
		}
		p.close()
		var netErr net.Error
		if !reused || errors.As(err, &netErr) && netErr.Timeout() {
			break
		}
	}
	return 0, err
}

// answersPing reports whether the instance answers a single ping.
func (n *Node) answersPing(ctx context.Context, instance fleet.Instance) bool {
	single := pinger{}
	defer single.close()
	_, err := single.ping(ctx, n, instance.PeerAddress)
	return err == nil
}

// sendPing opens a channel if there is none, sends one ping and returns the incarnation of the instance that answered.
func (p *pinger) sendPing(ctx context.Context, n *Node, address string, deadline time.Time) (fleet.Incarnation, error) {
	if p.channel == nil {
		ctx, cancel := context.WithDeadline(ctx, deadline)
		defer cancel()
		channel, err := n.transport.Open(ctx, address)
		if err != nil {
			return 0, err
		}
		p.channel, p.address = channel, address
	}
	reply, err := n.exchange(deadline, p.channel, &wire.Call{Kind: &wire.Call_Reach{Reach: &wire.Reach{}}})
	return fleet.Incarnation(reply.GetReached().GetIncarnation()), err
}

func (p *pinger) close() {
	if p.channel != nil {
		p.channel.Close()
		p.channel = nil
	}
}
