package node

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"turmericpulley/core/pause"
	"turmericpulley/core/types"
	"turmericpulley/io/front"
)

// searchPause is the time between two looks for the owner of a database.
const searchPause = 15 * time.Millisecond

// router finds the owners of databases for callers' sessions.
type router struct {
	node *Node
}

// Runner returns a way to the present owner of the database.
func (r *router) Runner(ctx context.Context, database types.DatabaseID) (front.Runner, error) {
	n := r.node
	for {
		if held := n.holder.get(database); held != nil {
			return held.group.NewSession(), nil
		}
		record, known := n.roster.owner(database)
		if known && record.Instance != n.settings.Self.ID {
			if instance, found := n.roster.instance(record.Instance); found {
				channel, err := n.transport.Open(ctx, instance.PeerAddress)
				if err == nil {
					return &remote{node: n, channel: channel, database: database}, nil
				}
			}
		}
		if !pause.For(ctx, searchPause) {
			return nil, errors.Errorf("no owner of database %s was to be reached in time; come back in 200 ms", database)
		}
	}
}
