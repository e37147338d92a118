package node

import (
	"encoding/json"
	"slices"
	"strings"
	"sync"

	"turmericpulley/core/fleet"
	"turmericpulley/core/hold"
	"turmericpulley/core/policy"
	"turmericpulley/core/types"
)

// maxRecentChanges is the largest number of latest changes that are kept in order. A follower that has missed an older one gets
// the newest value of each item that changed since its revision, in no particular order.
const maxRecentChanges = 256

// directory holds the instances and the owner records as last read from the store. It is safe for concurrent use.
type directory struct {
	self fleet.Instance

	mu        sync.Mutex
	instances map[types.InstanceID]fleet.Instance
	// items are the newest values by key. Deleted ones stay, so that followers learn of the deletion.
	items map[string]Item
	// era is the newest era of the store of which an item is known.
	era types.Era
	// recent are the latest changes, and droppedRevision is the newest revision of a change that is no longer among them.
	recent          []Item
	droppedRevision types.Revision
	owners          map[types.DatabaseID]ownerRecord
	changed         chan struct{}
	// ranks are this instance's ranks among the owner candidates of each database. sortedInstances are the instances by id and
	// localReaders the store readers of the data centre; both are nil after a change until they are needed.
	ranks           *fleet.Ranks
	sortedInstances []fleet.Instance
	localReaders    []fleet.Instance
}

func newDirectory(self fleet.Instance) *directory {
	return &directory{
		self: self, instances: map[types.InstanceID]fleet.Instance{self.ID: self}, items: map[string]Item{},
		owners: map[types.DatabaseID]ownerRecord{}, changed: make(chan struct{}), ranks: fleet.NewRanks(self),
	}
}

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
	defer d.notify()
	if id, found := strings.CutPrefix(item.Key, instancesPrefix); found {
		return d.applyInstance(types.InstanceID(id), item, previous)
	}
	if database, found := strings.CutPrefix(item.Key, ownersPrefix); found {
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
	d.sortedInstances, d.localReaders = nil, nil
	instance := fleet.Instance{}
	if item.Deleted || json.Unmarshal(item.Value, &instance) != nil || instance.ID != id {
		delete(d.instances, id)
		d.ranks.Remove(id)
		return false
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

// recordRecent adds a change to the latest ones. The caller holds the lock.
func (d *directory) recordRecent(item Item) {
	d.recent = append(d.recent, item)
	if len(d.recent) <= maxRecentChanges {
		return
	}
	for _, old := range d.recent[:maxRecentChanges/2] {
		d.droppedRevision = max(d.droppedRevision, old.Revision)
	}
	d.recent = slices.Delete(d.recent, 0, maxRecentChanges/2)
}

// changedSince returns the items that changed after the revision. An item that changed twice may be contained twice, in order.
func (d *directory) changedSince(revision types.Revision) []Item {
	d.mu.Lock()
	defer d.mu.Unlock()
	var changed []Item
	if revision >= d.droppedRevision {
		for _, item := range d.recent {
			if item.Revision > revision {
				changed = append(changed, item)
			}
		}
		return changed
	}
	for _, item := range d.items {
		if item.Revision > revision {
			changed = append(changed, item)
		}
	}
	return changed
}

// revision returns the revision of a key's value; zero when the key does not exist.
func (d *directory) revision(key string) types.Revision {
	d.mu.Lock()
	defer d.mu.Unlock()
	if item := d.items[key]; !item.Deleted {
		return item.Revision
	}
	return 0
}

// markDeleted records that a key does not exist although no deletion of it was read.
func (d *directory) markDeleted(key string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if item, known := d.items[key]; known {
		item.Deleted = true
		d.items[key] = item
	}
}

// owner returns the owner record of a database, and whether there is one.
func (d *directory) owner(database types.DatabaseID) (ownerRecord, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	record, known := d.owners[database]
	return record, known
}

// isStandby reports whether any owner record names this instance as the standby.
func (d *directory) isStandby() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, record := range d.owners {
		if record.HasStandby(d.self) {
			return true
		}
	}
	return false
}

// heldDatabases returns the databases whose owner record names this instance as the owner or the standby.
func (d *directory) heldDatabases() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var held []string
	for database, record := range d.owners {
		if record.IsOwnedBy(d.self) || record.HasStandby(d.self) {
			held = append(held, string(database))
		}
	}
	return held
}

// instance returns an instance's entry, and whether there is one.
func (d *directory) instance(id types.InstanceID) (fleet.Instance, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	i, known := d.instances[id]
	return i, known
}

// all returns the known instances sorted by id, this one included. The caller must not modify the slice.
func (d *directory) all() []fleet.Instance {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.sortedByID()
}

// sortedByID returns the instances sorted by id; it sorts them only after a change. The caller holds the lock.
func (d *directory) sortedByID() []fleet.Instance {
	if d.sortedInstances == nil {
		for _, i := range d.instances {
			d.sortedInstances = append(d.sortedInstances, i)
		}
		slices.SortFunc(d.sortedInstances, func(a, b fleet.Instance) int { return strings.Compare(string(a.ID), string(b.ID)) })
	}
	return d.sortedInstances
}

// rank returns how many instances come before this one among the owner candidates of the database. The excluded instance does
// not count.
func (d *directory) rank(database types.DatabaseID, excluded types.InstanceID) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ranks.Of(database, excluded)
}

// ownerCandidates returns the known instances in their order as owner candidates of the database. If a data centre is given and
// has instances, it returns only those.
func (d *directory) ownerCandidates(database types.DatabaseID, dataCentre types.DataCentre) []fleet.Instance {
	membership := fleet.Membership{Instances: d.all()}
	return membership.OwnerCandidates(policy.Database{Database: database, Members: []policy.Member{{DataCentre: dataCentre}}})
}

// readers returns the store readers of this instance's data centre. The caller must not modify the slice.
func (d *directory) readers() []fleet.Instance {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.localReaders == nil {
		d.localReaders = append([]fleet.Instance{}, fleet.Membership{Instances: d.sortedByID()}.StoreReaders(d.self.DataCentre)...)
	}
	return d.localReaders
}

// localPosition returns how many instances of this one's data centre come before it by id, and how many there are in all.
func (d *directory) localPosition() (position, count int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, i := range d.instances {
		if i.DataCentre != d.self.DataCentre {
			continue
		}
		count++
		if i.ID < d.self.ID {
			position++
		}
	}
	return position, count
}

// nextChange returns a channel that is closed at the next change or call of wake.
func (d *directory) nextChange() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.changed
}

// wake wakes the goroutines that wait for a change of the directory without changing it.
func (d *directory) wake() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.notify()
}

// notify closes the channel of the current change and creates the next. The caller holds the lock.
func (d *directory) notify() {
	close(d.changed)
	d.changed = make(chan struct{})
}
