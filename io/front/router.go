package front

import (
	"context"

	"github.com/pkg/errors"

	"turmericpulley/core/stmt"
	"turmericpulley/core/types"
	"turmericpulley/io/group"
)

// OwnerSession is a session's way to the owner of its database; it is used by one goroutine.
type OwnerSession interface {
	// Do runs one statement; group.ErrNotOwner says that nothing ran, ErrLost that it may have run.
	Do(w group.Request) (stmt.Reply, error)
	// Close ends the session at the owner, which rolls back what is open.
	Close()
}

// Router finds owners.
type Router interface {
	// OwnerSession returns a way to the present owner of the database; it waits for one until the context ends.
	OwnerSession(ctx context.Context, database types.DatabaseID) (OwnerSession, error)
}

// ErrConnectionLost reports that the way to the owner broke before its answer arrived.
var ErrConnectionLost = errors.New("the way to the owner broke before its answer; the statement may have run")
