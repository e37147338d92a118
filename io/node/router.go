package node

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"turmericpulley/core/pause"
	"turmericpulley/core/types"
	"turmericpulley/io/front"
)

// ownerSearchInterval is the time between two looks for the owner of a database.
const ownerSearchInterval = 15 * time.Millisecond

// rereadDelay is how long a search goes on before the owner's record is read from the store: the watch that should have
// shown a change may have gone silent.
const rereadDelay = 300 * time.Millisecond

// rereadOwner reads an owner's record unless that happens already.
func (n *Node) rereadOwner(database types.DatabaseID) {
	if !n.rereadingOwner.CompareAndSwap(false, true) {
		return
	}
	n.goroutines.Go(func() {
		defer n.rereadingOwner.Store(false)
		n.ownerships.rereadRecord(n.ctx, database)
		pause.For(n.ctx, rereadDelay)
	})
}

// router finds the owners of databases for callers' sessions.
type router struct {
	node *Node
}

// OwnerSession returns a way to the present owner of the database.
func (r *router) OwnerSession(ctx context.Context, database types.DatabaseID) (front.OwnerSession, error) {
	n := r.node
	reread := time.Now().Add(rereadDelay)
	for {
		if held := n.ownerships.get(database); held != nil {
			return held.group.NewSession(), nil
		}
		if record, known := n.directory.owner(database); known {
			for _, id := range n.ownerCandidates(record) {
				if way := r.openSession(ctx, id, database); way != nil {
					return way, nil
				}
				n.unresponsive.record(id)
			}
		}
		if time.Now().After(reread) {
			n.rereadOwner(database)
			reread = time.Now().Add(rereadDelay)
		}
		if !pause.For(ctx, ownerSearchInterval) {
			return nil, errors.Errorf("no owner of database %s was to be reached in time; come back in 200 ms", database)
		}
	}
}

// ownerCandidates returns the owner and its deputy, the deputy first when the owner did not answer lately.
func (n *Node) ownerCandidates(record ownerRecord) []types.InstanceID {
	if record.Standby == nil {
		return []types.InstanceID{record.Instance}
	}
	if n.unresponsive.recently(record.Instance) {
		return []types.InstanceID{record.Standby.Instance, record.Instance}
	}
	return []types.InstanceID{record.Instance, record.Standby.Instance}
}

// openSession returns a way to the instance, or nil when it cannot be reached soon.
func (r *router) openSession(ctx context.Context, id types.InstanceID, database types.DatabaseID) front.OwnerSession {
	n := r.node
	instance, known := n.directory.instance(id)
	if !known || id == n.settings.Self.ID {
		return nil
	}
	channel, err := n.openChannel(ctx, instance)
	if err != nil {
		return nil
	}
	return &remoteOwner{node: n, channel: channel, instance: id, database: database}
}
