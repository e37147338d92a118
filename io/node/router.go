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

// rereadAfter is how long a search goes on before the owner's record is read from the store: the watch that should have
// shown a change may have gone silent.
const rereadAfter = 300 * time.Millisecond

// rereadOwner reads an owner's record unless that happens already.
func (n *Node) rereadOwner(database types.DatabaseID) {
	if !n.rereading.CompareAndSwap(false, true) {
		return
	}
	n.running.Go(func() {
		defer n.rereading.Store(false)
		n.holder.reread(n.ctx, database)
		pause.For(n.ctx, rereadAfter)
	})
}

// router finds the owners of databases for callers' sessions.
type router struct {
	node *Node
}

// Runner returns a way to the present owner of the database.
func (r *router) Runner(ctx context.Context, database types.DatabaseID) (front.Runner, error) {
	n := r.node
	reread := time.Now().Add(rereadAfter)
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
		if time.Now().After(reread) {
			n.rereadOwner(database)
			reread = time.Now().Add(rereadAfter)
		}
		if !pause.For(ctx, searchPause) {
			return nil, errors.Errorf("no owner of database %s was to be reached in time; come back in 200 ms", database)
		}
	}
}
