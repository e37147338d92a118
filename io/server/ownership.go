package server

import (
	"context"

	"turmericpulley/io/owner"
)

// ownership is a database that this instance owns or is taking over.
type ownership struct {
	// ready closes once owner is set.
	ready chan struct{}
	owner *owner.Owner
}

// ownerIfReady returns the owner, or nil while the takeover is in progress.
func (o *ownership) ownerIfReady() *owner.Owner {
	select {
	case <-o.ready:
		return o.owner
	default:
		return nil
	}
}

// awaitOwner returns the owner once it is set, or nil when the context ends first.
func (o *ownership) awaitOwner(ctx context.Context) *owner.Owner {
	select {
	case <-o.ready:
		return o.owner
	case <-ctx.Done():
		return nil
	}
}
