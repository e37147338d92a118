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

// maxRecentChanges is the number of changes that followers are told from a list; who is farther behind gets all that is new.
const maxRecentChanges = 256

// directory holds what the store said of instances and owners; it is safe for concurrent use.
type directory struct {
	self fleet.Instance

	mu        sync.Mutex
	instances map[types.InstanceID]fleet.Instance
	// items are the newest values by key; deleted ones stay, so that others hear of them.
	items map[string]Item
	// recent are the latest changes, and dropped is the newest revision that is not among them any more.
	recent          []Item
	droppedRevision types.Revision
	owners          map[types.DatabaseID]ownerRecord
	changed         chan struct{}
	// ranks are this instance's in the order of each database. sorted are the instances by id and near the readers of the
	// data centre, both nil until they are wanted after a change.
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

// apply notes an item of the store unless a newer one is known; it reports whether this instance's own entry is missing.
func (r *directory) apply(i Item) (ownMissing bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if i.Revision <= r.items[i.Key].Revision {
		return false
	}
	r.items[i.Key] = i
	r.recordRecent(i)
	defer r.notify()
	if id, found := strings.CutPrefix(i.Key, instancesPrefix); found {
		return r.applyInstance(types.InstanceID(id), i)
	}
	if database, found := strings.CutPrefix(i.Key, ownersPrefix); found {
		r.applyOwner(types.DatabaseID(database), i)
	}
	return false
}

func (r *directory) applyInstance(id types.InstanceID, i Item) (ownMissing bool) {
	if id == r.self.ID {
		return i.Deleted
	}
	r.sortedInstances, r.localReaders = nil, nil
	instance := fleet.Instance{}
	if i.Deleted || json.Unmarshal(i.Value, &instance) != nil || instance.ID != id {
		delete(r.instances, id)
		r.ranks.Remove(id)
		return false
	}
	r.instances[id] = instance
	r.ranks.Put(instance)
	return false
}

func (r *directory) applyOwner(database types.DatabaseID, i Item) {
	record, err := hold.Decode(i.Value)
	if i.Deleted || err != nil {
		delete(r.owners, database)
		return
	}
	r.owners[database] = ownerRecord{record, i.Revision}
}

// dropMissing forgets the items with the prefix that a complete reading at the revision did not show.
func (r *directory) dropMissing(prefix string, present []Item, revision types.Revision) {
	keys := map[string]bool{}
	for _, i := range present {
		keys[i.Key] = true
	}
	r.mu.Lock()
	var gone []string
	for key, known := range r.items {
		if strings.HasPrefix(key, prefix) && !keys[key] && !known.Deleted && known.Revision <= revision {
			gone = append(gone, key)
		}
	}
	r.mu.Unlock()
	for _, key := range gone {
		r.apply(Item{Key: key, Revision: revision, Deleted: true})
	}
}

// recordRecent notes a change among the latest ones; the caller holds the lock.
func (r *directory) recordRecent(i Item) {
	r.recent = append(r.recent, i)
	if len(r.recent) <= maxRecentChanges {
		return
	}
	for _, old := range r.recent[:maxRecentChanges/2] {
		r.droppedRevision = max(r.droppedRevision, old.Revision)
	}
	r.recent = slices.Delete(r.recent, 0, maxRecentChanges/2)
}

// changedSince returns the items that changed after the revision; an item that changed twice may come twice, in order.
func (r *directory) changedSince(revision types.Revision) []Item {
	r.mu.Lock()
	defer r.mu.Unlock()
	var changed []Item
	if revision >= r.droppedRevision {
		for _, i := range r.recent {
			if i.Revision > revision {
				changed = append(changed, i)
			}
		}
		return changed
	}
	for _, i := range r.items {
		if i.Revision > revision {
			changed = append(changed, i)
		}
	}
	return changed
}

// revision returns the revision of a key's value; zero when it does not exist.
func (r *directory) revision(key string) types.Revision {
	r.mu.Lock()
	defer r.mu.Unlock()
	if i := r.items[key]; !i.Deleted {
		return i.Revision
	}
	return 0
}

// markDeleted notes that a key does not exist although it was not seen to be deleted.
func (r *directory) markDeleted(key string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if i, known := r.items[key]; known {
		i.Deleted = true
		r.items[key] = i
	}
}

// owner returns the record of a database.
func (r *directory) owner(database types.DatabaseID) (ownerRecord, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	o, known := r.owners[database]
	return o, known
}

// isStandby reports whether any record names this instance as the deputy.
func (r *directory) isStandby() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, o := range r.owners {
		if o.HasStandby(r.self) {
			return true
		}
	}
	return false
}

// instance returns what an instance said of itself.
func (r *directory) instance(id types.InstanceID) (fleet.Instance, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	i, known := r.instances[id]
	return i, known
}

// all returns the known instances by id, this one included; the list is not to be changed.
func (r *directory) all() []fleet.Instance {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sortedByID()
}

// sortedByID sorts the instances after a change; the caller holds the lock.
func (r *directory) sortedByID() []fleet.Instance {
	if r.sortedInstances == nil {
		for _, i := range r.instances {
			r.sortedInstances = append(r.sortedInstances, i)
		}
		slices.SortFunc(r.sortedInstances, func(a, b fleet.Instance) int { return strings.Compare(string(a.ID), string(b.ID)) })
	}
	return r.sortedInstances
}

// rank returns how many instances may own the database before this one; the one that is left out does not count.
func (r *directory) rank(database types.DatabaseID, leftOut types.InstanceID) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ranks.Of(database, leftOut)
}

// ranked returns the known instances in the order in which they may own the database, those in the data centre only
// when it is named and there are any.
func (r *directory) ranked(database types.DatabaseID, dataCentre types.DataCentre) []fleet.Instance {
	membership := fleet.Membership{Instances: r.all()}
	return membership.OwnerCandidates(policy.Database{Database: database, Members: []policy.Member{{DataCentre: dataCentre}}})
}

// readers returns the instances that follow the store for this one's data centre; the list is not to be changed.
func (r *directory) readers() []fleet.Instance {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.localReaders == nil {
		r.localReaders = append([]fleet.Instance{}, fleet.Membership{Instances: r.sortedByID()}.StoreReaders(r.self.DataCentre)...)
	}
	return r.localReaders
}

// nextChange returns a channel that is closed at the next change.
func (r *directory) nextChange() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// wake makes those who wait for a change look again.
func (r *directory) wake() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.notify()
}

func (r *directory) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}
