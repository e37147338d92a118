package pgsrv

import (
	"context"

	"turmericpulley/io/wire"
)

// Router opens streams to the owners of databases.
type Router interface {
	// Open opens a stream for a transaction. When it returns an error, no statement has run.
	Open(ctx context.Context, begin *wire.Begin) (Stream, error)
}
