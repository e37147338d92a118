package node

import (
	"time"

	"turmericpulley/core/clock"
	"turmericpulley/core/pause"
	"turmericpulley/core/types"
	"turmericpulley/io/group"
)

// ownerProbeInterval is the time between two probes of a search for a database's owner.
const ownerProbeInterval = 250 * time.Millisecond

// recordUnreached records that an attempt that began at the given moment found no owner of the database, and starts a search for it
// unless one runs. The search shows when the outage is over, so that no request has to be tried for that.
func (n *Node) recordUnreached(database types.DatabaseID, began clock.Moment) {
	if n.owners.RecordFailure(database, began) {
		n.logger.Warn("owner not reached, requests are refused", "database", database, "since", n.settings.Clock.Since(began).String())
	}
	if !n.owners.BeginSearch(database) {
		return
	}
	n.goroutines.Go(func() {
		for pause.For(n.ctx, ownerProbeInterval) && n.owners.ContinueSearch(database) {
			n.probeOwner(database)
		}
	})
}

// recordServed records that the instance has served a request for the database, as its owner or as the standby of an owner that is not
// reached.
func (n *Node) recordServed(database types.DatabaseID, instance types.InstanceID) {
	record := n.owners.RecordSuccess
	if owner, known := n.directory.owner(database); known && owner.Instance != instance && instance != n.settings.Self.ID {
		record = n.owners.RecordBridged
	}
	if record(database) {
		n.logger.Info("owner reached again", "database", database, "serving", instance)
	}
}

// probeOwner asks the instances at which the database's owner may be reached whether they serve it, and records the result.
func (n *Node) probeOwner(database types.DatabaseID) {
	if n.ownerships.get(database) != nil {
		n.recordServed(database, n.settings.Self.ID)
		return
	}
	record, known := n.directory.owner(database)
	if !known {
		return
	}
	began := n.settings.Clock.Now()
	for _, id := range n.ownerAndStandby(database, record) {
		session := (&router{node: n}).openSession(n.ctx, id, database)
		if session == nil {
			continue
		}
		// Outside a transaction a rollback changes nothing; only an owner runs it.
		_, err := session.Do(group.Request{Rollback: true})
		session.Close()
		if err == nil {
			return
		}
	}
	n.recordUnreached(database, began)
}
