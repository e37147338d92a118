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
		if record, known := n.roster.owner(database); known {
			for _, id := range n.ways(record) {
				if way := r.open(ctx, id, database); way != nil {
					return way, nil
				}
				n.silent.note(id)
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

// ways returns the owner and its deputy, the deputy first when the owner did not answer lately.
func (n *Node) ways(record owned) []types.InstanceID {
	if record.Deputy == nil {
		return []types.InstanceID{record.Instance}
	}
	if n.silent.lately(record.Instance) {
		return []types.InstanceID{record.Deputy.Instance, record.Instance}
	}
	return []types.InstanceID{record.Instance, record.Deputy.Instance}
}

// open returns a way to the instance, or nil when it cannot be reached soon.
func (r *router) open(ctx context.Context, id types.InstanceID, database types.DatabaseID) front.Runner {
	n := r.node
	instance, known := n.roster.instance(id)
	if !known || id == n.settings.Self.ID {
		return nil
	}
	channel, err := n.open(ctx, instance)
	if err != nil {
		return nil
	}
	return &remote{node: n, channel: channel, instance: id, database: database}
}
