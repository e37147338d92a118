package node

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"turmericpulley/core/pause"
	"turmericpulley/core/types"
	"turmericpulley/io/front"
)

// ownerSearchInterval is the time between two attempts to connect to the owner of a database.
const ownerSearchInterval = 15 * time.Millisecond

// rereadDelay is how long the search for an owner goes on before the owner record is read from the store, and the time between
// two such reads. The watch that should have reported a new owner may be unresponsive.
const rereadDelay = 300 * time.Millisecond

// rereadOwner reads the owner record of a database from the store in the background. It does nothing while such a read, of any
// database, is in progress, and for rereadDelay afterwards.
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

// router connects callers' sessions to the owners of their databases. It implements front.Router.
type router struct {
	node *Node
}

// OwnerSession returns a session at the current owner of the database. It retries until the context ends, or until no takeover is
// expected any more.
func (r *router) OwnerSession(ctx context.Context, database types.DatabaseID) (front.OwnerSession, error) {
	n := r.node
	reread := time.Now().Add(rereadDelay)
	for {
		if owned := n.ownerships.get(database); owned != nil {
			n.recordServed(database, n.settings.Self.ID)
			return owned.group.NewSession(), nil
		}
		if n.owners.Refuse(database) {
			n.rereadOwner(database)
			return nil, errors.Wrapf(front.ErrOwnerUnreached, "database %s", database)
		}
		if session := r.tryInstances(ctx, database); session != nil {
			return session, nil
		}
		if time.Now().After(reread) {
			n.rereadOwner(database)
			reread = time.Now().Add(rereadDelay)
		}
		if !pause.For(ctx, ownerSearchInterval) {
			return nil, errors.Errorf("no owner of database %s could be reached in time; come back in 200 ms", database)
		}
	}
}

// tryInstances opens a session at the first instance that can be reached of those at which the owner may be; nil when there is none.
func (r *router) tryInstances(ctx context.Context, database types.DatabaseID) front.OwnerSession {
	n := r.node
	record, known := n.directory.owner(database)
	if !known {
		return nil
	}
	began := n.settings.Clock.Now()
	for _, id := range n.ownerAndStandby(database, record) {
		if session := r.openSession(ctx, id, database); session != nil {
			return session
		}
		n.unresponsive.record(id)
	}
	n.recordUnreached(database, began)
	return nil
}

// ownerAndStandby returns the instances at which the owner of the database may be reached: the owner and its standby, the
// standby first when it serves in place of the owner, or when the owner has been unresponsive recently.
func (n *Node) ownerAndStandby(database types.DatabaseID, record ownerRecord) []types.InstanceID {
	if record.Standby == nil {
		return []types.InstanceID{record.Instance}
	}
	if n.owners.Bridged(database) || n.unresponsive.recently(record.Instance) {
		return []types.InstanceID{record.Standby.Instance, record.Instance}
	}
	return []types.InstanceID{record.Instance, record.Standby.Instance}
}

// openSession opens a session for the database at another instance. It returns nil when the instance is unknown, is this one,
// or cannot be reached within channelOpenTimeout. While the owner is missing, and where the
// instance has been unresponsive recently, it must answer a ping first, so that no write is sent to one that is about to end or behind
// a silent connection.
func (r *router) openSession(ctx context.Context, id types.InstanceID, database types.DatabaseID) front.OwnerSession {
	n := r.node
	instance, known := n.directory.instance(id)
	if !known || id == n.settings.Self.ID {
		return nil
	}
	if (n.owners.Missing(database) || n.unresponsive.recently(id)) && !n.answersPing(ctx, instance) {
		return nil
	}
	channel, err := n.openChannel(ctx, instance)
	if err != nil {
		return nil
	}
	return &remoteOwner{node: n, channel: channel, instance: id, database: database}
}
