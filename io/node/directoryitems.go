package node

import (
	"encoding/json"
	"strings"

	"turmericpulley/core/fleet"
	"turmericpulley/core/hold"
	"turmericpulley/core/types"
)

// apply records an item of the store unless the same or a newer one is known, or the item is of an earlier era, in which case the
// store may have lost it. It reports whether the item says that this instance's own entry was deleted.
func (d *directory) apply(item Item) (ownMissing bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if item.Revision <= d.items[item.Key].Revision || item.Revision.Era() < d.era {
		return false
	}
	d.era = item.Revision.Era()
	previous := d.items[item.Key].Revision
	d.items[item.Key] = item
	d.recordRecent(item)
	d.concerns = nil
	defer d.notify()
	if id, found := strings.CutPrefix(item.Key, instancesPrefix); found {
		return d.applyInstance(types.InstanceID(id), item, previous)
	}
	if database, found := strings.CutPrefix(item.Key, ownersPrefix); found {
		d.unsettled.databases[types.DatabaseID(database)] = true
		d.applyOwner(types.DatabaseID(database), item)
	}
	return false
}

// applyInstance records the entry of another instance; one that cannot be parsed counts as deleted. For this instance's own
// entry it only reports whether it was deleted. An entry that the store has lost stays, because its instance writes it again. The
// caller holds the lock.
func (d *directory) applyInstance(id types.InstanceID, item Item, previous types.Revision) (ownMissing bool) {
	if id == d.self.ID {
		return item.Deleted
	}
	if item.Deleted && previous.Era() < item.Revision.Era() {
		return false
	}
	d.sortedInstances, d.localReaders, d.remoteReaders = nil, nil, nil
	instance := fleet.Instance{}
	if item.Deleted || json.Unmarshal(item.Value, &instance) != nil || instance.ID != id {
		d.unsettled.all = true
		delete(d.instances, id)
		d.ranks.Remove(id)
		return false
	}
	if former, known := d.instances[id]; known && former != instance {
		// The owner of a database may have been restarted or may be leaving.
		d.unsettled.all = true
	}
	d.instances[id] = instance
	d.ranks.Put(instance)
	return false
}

// applyOwner records the owner record of a database; one that cannot be parsed counts as deleted. A record that the store has lost
// stays until an instance writes another one. The caller holds the lock.
func (d *directory) applyOwner(database types.DatabaseID, item Item) {
	record, err := hold.Decode(item.Value)
	era := item.Revision.Era()
	known, found := d.owners[database]
	mayBeLost := found && (known.lost || known.revision.Era() < era)
	switch {
	case item.Deleted || err != nil:
		if !mayBeLost {
			delete(d.owners, database)
			return
		}
		known.lost, known.revision = true, 0
		d.owners[database] = known
	case mayBeLost && record.IsFromCopy(era) && (known.lost || known.revision.Number() > item.Revision.Number()):
		known.lost, known.revision = true, item.Revision
		d.owners[database] = known
	default:
		d.owners[database] = ownerRecord{Record: record, revision: item.Revision}
	}
}

// dropMissing records as deleted the items with the prefix that a complete read of the store at the revision did not contain.
func (d *directory) dropMissing(prefix string, present []Item, revision types.Revision) {
	keys := map[string]bool{}
	for _, item := range present {
		keys[item.Key] = true
	}
	d.mu.Lock()
	var missing []string
	for key, known := range d.items {
		if strings.HasPrefix(key, prefix) && !keys[key] && !known.Deleted && known.Revision <= revision {
			missing = append(missing, key)
		}
	}
	d.mu.Unlock()
	for _, key := range missing {
		d.apply(Item{Key: key, Revision: revision, Deleted: true})
	}
}

// dropLost records as deleted the item of a key that a store of the era does not hold, if the item is of an earlier era.
func (d *directory) dropLost(key string, era types.Era) {
	d.mu.Lock()
	known, found := d.items[key]
	d.mu.Unlock()
	if found && !known.Deleted && known.Revision.Era() < era {
		d.apply(Item{Key: key, Revision: types.NewRevision(era, 0), Deleted: true})
	}
}

// isUnknown reports whether no instance that is known here has the incarnation. An instance that knows no others cannot tell.
func (d *directory) isUnknown(incarnation fleet.Incarnation) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, i := range d.instances {
		if i.Incarnation == incarnation {
			return false
		}
	}
	return len(d.instances) > 1
}
