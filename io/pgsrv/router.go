package pgsrv

import (
	"context"

	"turmericpulley/io/wire"
)

// Router opens streams to the owners of databases.
type Router interface {
	// Open starts a transaction; when it fails nothing has run.
	Open(ctx context.Context, begin *wire.Begin) (Stream, error)
}
