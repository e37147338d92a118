package peers

import (
	"context"
	"time"

	"turmericpulley/core/fleet"
	"turmericpulley/core/relay"
	"turmericpulley/core/types"
)

// Store is what the service needs of the platform's key-value service.
type Store interface {
	// Get returns the value of the key and its revision.
	Get(ctx context.Context, key string) (value []byte, revision types.Revision, found bool, err error)
	// Put replaces the value when its revision is the expected one; fault.RevisionConflict says that it is another, and
	// fault.StoreUnavailable that the outcome is not known.
	Put(ctx context.Context, key string, value []byte, expected types.Revision) (types.Revision, error)
	// List returns the entries under the prefix that changed after the revision and waits for the first one.
	List(ctx context.Context, prefix string, after types.Revision, wait time.Duration) (relay.Page, error)
	// Targets returns the platform's lagging list.
	Targets(ctx context.Context) ([]fleet.ListEntry, error)
}
