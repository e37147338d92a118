package server

import (
	"context"

	"turmericpulley/io/owner"
)

// holding is a database that this instance owns or is about to own.
type holding struct {
	// ready closes once owner is set.
	ready chan struct{}
	owner *owner.Owner
}

// started returns the owner, or nil while it is still about to start.
func (h *holding) started() *owner.Owner {
	select {
	case <-h.ready:
		return h.owner
	default:
		return nil
	}
}

// await returns the owner once it is set, or nil when the context ends first.
func (h *holding) await(ctx context.Context) *owner.Owner {
	select {
	case <-h.ready:
		return h.owner
	case <-ctx.Done():
		return nil
	}
}
