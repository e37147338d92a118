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

// pinger carries questions for signs of life to one instance over a channel that stays open; it is used by one goroutine.
type pinger struct {
	channel *peers.Channel
	address string
}

// ping reports whether the instance at the address answers, and which run of it does. A channel that has ended is opened anew
// within the question; one that went silent is given up, so that the next question finds another way.
func (l *pinger) ping(ctx context.Context, n *Node, address string) (fleet.Incarnation, bool) {
	deadline := time.Now().Add(pingTimeout)
	if l.address != address {
		l.close()
	}
	for range 2 {
		kept := l.channel != nil
		incarnation, err := l.sendPing(ctx, n, address, deadline)
		if err == nil {
			return incarnation, true
		}
		l.close()
		var failed net.Error
		if !kept || errors.As(err, &failed) && failed.Timeout() {
			break
		}
	}
	return 0, false
}

func (l *pinger) sendPing(ctx context.Context, n *Node, address string, deadline time.Time) (fleet.Incarnation, error) {
	if l.channel == nil {
		ctx, cancel := context.WithDeadline(ctx, deadline)
		defer cancel()
		channel, err := n.transport.Open(ctx, address)
		if err != nil {
			return 0, err
		}
		l.channel, l.address = channel, address
	}
	reply, err := n.exchange(deadline, l.channel, &wire.Call{Kind: &wire.Call_Reach{Reach: &wire.Reach{}}})
	return fleet.Incarnation(reply.GetReached().GetIncarnation()), err
}

func (l *pinger) close() {
	if l.channel != nil {
		l.channel.Close()
		l.channel = nil
	}
}
