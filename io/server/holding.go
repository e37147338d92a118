package server

import (
	"context"

	"turmericpulley/io/owner"
)

// ownership is a database that this instance owns or is about to own.
type ownership struct {
	// ready closes once owner is set.
	ready chan struct{}
	owner *owner.Owner
}

// ownerIfReady returns the owner, or nil while it is still about to start.
func (h *ownership) ownerIfReady() *owner.Owner {
	select {
	case <-h.ready:
		return h.owner
	default:
		return nil
	}
}

// awaitOwner returns the owner once it is set, or nil when the context ends first.
func (h *ownership) awaitOwner(ctx context.Context) *owner.Owner {
	select {
	case <-h.ready:
		return h.owner
	case <-ctx.Done():
		return nil
	}
}
