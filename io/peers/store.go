package peers

import (
	"context"
	"time"

	"turmericpulley/core/fleet"
	"turmericpulley/core/relay"
	"turmericpulley/core/types"
)

// Store is the access to the platform's key-value service and instance list that a Service needs.
type Store interface {
	// Get returns the value of the key and the revision of its last change; found is false when the key does not exist.
	Get(ctx context.Context, key string) (value []byte, revision types.Revision, found bool, err error)
	// Put replaces the value if its revision is the expected one. A fault of kind fault.RevisionConflict means that the
	// revision differs, and one of kind fault.StoreUnavailable that the outcome is not known.
	Put(ctx context.Context, key string, value []byte, expected types.Revision) (types.Revision, error)
	// List returns the entries under the prefix that changed after the revision. If there are none, it waits at most the
	// given time for the first.
	List(ctx context.Context, prefix string, after types.Revision, wait time.Duration) (relay.Page, error)
	// Targets returns the platform's list of instances and targets, which shows changes with a delay.
	Targets(ctx context.Context) ([]fleet.ListEntry, error)
}
