package server

import (
	"context"

	"turmericpulley/core/fleet"
	"turmericpulley/core/relay"
	"turmericpulley/core/types"
	"turmericpulley/io/peers"
	"turmericpulley/io/wire"
)

// network is the part of the peer service that the ownership manager and the router use.
type network interface {
	Open(ctx context.Context, id types.InstanceID, begin *wire.Begin) (peers.Stream, error)
	Self() fleet.Instance
	Membership() fleet.Membership
	Suspected(id types.InstanceID) bool
	Probe(ctx context.Context, id types.InstanceID) bool
	Documents() *relay.Cache
	CheckFreshness() error
}
