package server

import (
	"turmericpulley/io/owner"
)

// holding is a database that this instance owns or is about to own.
type holding struct {
	// ready closes once owner is set.
	ready chan struct{}
	owner *owner.Owner
}
