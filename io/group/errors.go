package group

import (
	"github.com/pkg/errors"

	"turmericpulley/core/stmt"
)

var (
	// errPoolClosed means that the member is no longer used.
	errPoolClosed = errors.New("the connection pool of the member is closed; the statement needs another member")
	// errNoRoom means that a member takes no further connection at the moment, and that none of the account is idle.
	errNoRoom error = RefusedError{Code: stmt.TooManyConnections, Text: "no connection of the account is free"}
	// ErrNotOwner means that this instance may not serve the database; nothing ran.
	ErrNotOwner = errors.New("this instance does not own the database; send the request to its owner")
	// ErrNotSendable means that a statement cannot be sent to a member at all; nothing was sent.
	ErrNotSendable = errors.New("the statement cannot be sent to a member; make it smaller")
)
