package front

import (
	"context"

	"github.com/pkg/errors"

	"turmericpulley/core/stmt"
	"turmericpulley/core/types"
	"turmericpulley/io/group"
)

// OwnerSession is a caller's session at the owner of its database. Only one goroutine may use it.
type OwnerSession interface {
	// Do runs one request. group.ErrNotOwner and ErrNotSent mean that nothing ran, ErrConnectionLost that the statement may have
	// run.
	Do(req group.Request) (stmt.Reply, error)
	// Close ends the session at the owner, which rolls back an open transaction.
	Close()
}

// Router finds the owners of databases.
type Router interface {
	// OwnerSession opens a session at the present owner of the database. It waits for one until the context ends. ErrOwnerUnreached
	// means that it does not wait any longer, because other instances may reach an owner.
	OwnerSession(ctx context.Context, database types.DatabaseID) (OwnerSession, error)
}

// ErrOwnerUnreached means that this instance has reached no owner of the database for longer than a takeover takes.
var ErrOwnerUnreached = errors.New("this instance reaches no owner of the database; come back at once, over a new connection")

// ErrNotSent means that the connection to the owner had ended before the request was sent.
var ErrNotSent = errors.New("the connection to the owner had ended before the request was sent; it has not run")

// ErrConnectionLost means that the connection to the owner was lost before its reply arrived.
var ErrConnectionLost = errors.New("the connection to the owner was lost before its answer; the statement may have run")
