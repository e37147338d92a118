package node

import (
	"slices"
	"strings"
	"sync"

	"turmericpulley/core/fleet"
	"turmericpulley/core/policy"
	"turmericpulley/core/routes"
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
	// unsettled is what may need a change of this instance's ownerships. concerns are the databases of the configuration concernsOf that
	// concern it; nil after a change until they are needed.
	unsettled  unsettled
	concerns   []types.DatabaseID
	concernsOf *routes.Table
	// ranks are this instance's ranks among the owner candidates of each database. sortedInstances are the instances by id, localReaders
	// and remoteReaders the store readers of the data centre and of the others; all are nil after a change until they are needed.
	ranks           *fleet.Ranks
	sortedInstances []fleet.Instance
	localReaders    []fleet.Instance
	remoteReaders   []fleet.Instance
}

// unsettled are the databases whose owner record has changed, or all, since the ownership manager last looked.
type unsettled struct {
	databases map[types.DatabaseID]bool
	all       bool
}

func newDirectory(self fleet.Instance) *directory {
	return &directory{
		self: self, instances: map[types.InstanceID]fleet.Instance{self.ID: self}, items: map[string]Item{},
		owners: map[types.DatabaseID]ownerRecord{}, changed: make(chan struct{}), ranks: fleet.NewRanks(self),
		unsettled: unsettled{databases: map[types.DatabaseID]bool{}},
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

// placement returns the known instances with how many databases each of them owns.
func (d *directory) placement() fleet.Placement {
	d.mu.Lock()
	defer d.mu.Unlock()
	owned := make(map[types.InstanceID]int, len(d.owners))
	for _, record := range d.owners {
		owned[record.Instance]++
	}
	return fleet.Placement{Instances: d.sortedByID(), Owned: owned}
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

// readersElsewhere returns the store readers of the other data centres. The caller must not modify the slice.
func (d *directory) readersElsewhere() []fleet.Instance {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.remoteReaders == nil {
		d.remoteReaders = []fleet.Instance{}
		membership := fleet.Membership{Instances: d.sortedByID()}
		for _, dataCentre := range membership.DataCentres() {
			if dataCentre != d.self.DataCentre {
				d.remoteReaders = append(d.remoteReaders, membership.StoreReaders(dataCentre)...)
			}
		}
	}
	return d.remoteReaders
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

// concerning returns the databases that this instance works for or may have to claim. All others have an owner that other candidates
// replace. The caller must not modify the slice.
func (d *directory) concerning(table *routes.Table) []types.DatabaseID {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.concerns != nil && d.concernsOf == table {
		return d.concerns
	}
	d.concerns, d.concernsOf = []types.DatabaseID{}, table
	for id := range table.Databases {
		if record, known := d.owners[id]; !known || d.concernsSelf(id, record) {
			d.concerns = append(d.concerns, id)
		}
	}
	return d.concerns
}

// concernsSelf reports whether the record names this instance, or an owner that it may have to replace. The caller holds the lock.
func (d *directory) concernsSelf(database types.DatabaseID, record ownerRecord) bool {
	return record.lost || record.Instance == d.self.ID || record.HasStandby(d.self) ||
		d.instances[record.Instance].Incarnation > record.Incarnation || d.ranks.Of(database, record.Instance) < maxMonitorsInOutage
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

// unsettle wakes them like wake, and has the ownership manager look at all databases.
func (d *directory) unsettle() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.unsettled.all = true
	d.notify()
}

// takeUnsettled returns what has changed since its last call.
func (d *directory) takeUnsettled() unsettled {
	d.mu.Lock()
	defer d.mu.Unlock()
	taken := d.unsettled
	d.unsettled = unsettled{databases: map[types.DatabaseID]bool{}}
	return taken
}

// notify closes the channel of the current change and creates the next. The caller holds the lock.
func (d *directory) notify() {
	close(d.changed)
	d.changed = make(chan struct{})
}
