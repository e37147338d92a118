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

// recentChanges is the number of changes that followers are told from a list; who is farther behind gets all that is new.
const recentChanges = 256

// roster holds what the store said of instances and owners; it is safe for concurrent use.
type roster struct {
	self fleet.Instance

	mu        sync.Mutex
	instances map[types.InstanceID]fleet.Instance
	// items are the newest values by key; deleted ones stay, so that others hear of them.
	items map[string]Item
	// recent are the latest changes, and dropped is the newest revision that is not among them any more.
	recent  []Item
	dropped types.Revision
	owners  map[types.DatabaseID]owned
	changed chan struct{}
	// places are this instance's in the order of each database. sorted are the instances by id and near the readers of the
	// data centre, both nil until they are wanted after a change.
	places *fleet.Places
	sorted []fleet.Instance
	near   []fleet.Instance
}

func newRoster(self fleet.Instance) *roster {
	return &roster{
		self: self, instances: map[types.InstanceID]fleet.Instance{self.ID: self}, items: map[string]Item{},
		owners: map[types.DatabaseID]owned{}, changed: make(chan struct{}), places: fleet.NewPlaces(self),
	}
}

// take notes an item of the store unless a newer one is known; it reports whether this instance's own entry is missing.
func (r *roster) take(i Item) (ownMissing bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if i.Revision <= r.items[i.Key].Revision {
		return false
	}
	r.items[i.Key] = i
	r.remember(i)
	defer r.signal()
	if id, found := strings.CutPrefix(i.Key, instancesPrefix); found {
		return r.takeInstance(types.InstanceID(id), i)
	}
	if database, found := strings.CutPrefix(i.Key, ownersPrefix); found {
		r.takeOwner(types.DatabaseID(database), i)
	}
	return false
}

func (r *roster) takeInstance(id types.InstanceID, i Item) (ownMissing bool) {
	if id == r.self.ID {
		return i.Deleted
	}
	r.sorted, r.near = nil, nil
	instance := fleet.Instance{}
	if i.Deleted || json.Unmarshal(i.Value, &instance) != nil || instance.ID != id {
		delete(r.instances, id)
		r.places.Remove(id)
		return false
	}
	r.instances[id] = instance
	r.places.Put(instance)
	return false
}

func (r *roster) takeOwner(database types.DatabaseID, i Item) {
	record, err := hold.Decode(i.Value)
	if i.Deleted || err != nil {
		delete(r.owners, database)
		return
	}
	r.owners[database] = owned{record, i.Revision}
}

// retain forgets the items with the prefix that a complete reading at the revision did not show.
func (r *roster) retain(prefix string, present []Item, revision types.Revision) {
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
		r.take(Item{Key: key, Revision: revision, Deleted: true})
	}
}

// remember notes a change among the latest ones; the caller holds the lock.
func (r *roster) remember(i Item) {
	r.recent = append(r.recent, i)
	if len(r.recent) <= recentChanges {
		return
	}
	for _, old := range r.recent[:recentChanges/2] {
		r.dropped = max(r.dropped, old.Revision)
	}
	r.recent = slices.Delete(r.recent, 0, recentChanges/2)
}

// since returns the items that changed after the revision; an item that changed twice may come twice, in order.
func (r *roster) since(revision types.Revision) []Item {
	r.mu.Lock()
	defer r.mu.Unlock()
	var changed []Item
	if revision >= r.dropped {
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
func (r *roster) revision(key string) types.Revision {
	r.mu.Lock()
	defer r.mu.Unlock()
	if i := r.items[key]; !i.Deleted {
		return i.Revision
	}
	return 0
}

// forget notes that a key does not exist although it was not seen to be deleted.
func (r *roster) forget(key string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if i, known := r.items[key]; known {
		i.Deleted = true
		r.items[key] = i
	}
}

// owner returns the record of a database.
func (r *roster) owner(database types.DatabaseID) (owned, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	o, known := r.owners[database]
	return o, known
}

// isDeputy reports whether any record names this instance as the deputy.
func (r *roster) isDeputy() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, o := range r.owners {
		if o.HasDeputy(r.self) {
			return true
		}
	}
	return false
}

// instance returns what an instance said of itself.
func (r *roster) instance(id types.InstanceID) (fleet.Instance, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	i, known := r.instances[id]
	return i, known
}

// all returns the known instances by id, this one included; the list is not to be changed.
func (r *roster) all() []fleet.Instance {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.byID()
}

// byID sorts the instances after a change; the caller holds the lock.
func (r *roster) byID() []fleet.Instance {
	if r.sorted == nil {
		for _, i := range r.instances {
			r.sorted = append(r.sorted, i)
		}
		slices.SortFunc(r.sorted, func(a, b fleet.Instance) int { return strings.Compare(string(a.ID), string(b.ID)) })
	}
	return r.sorted
}

// place returns how many instances may own the database before this one; the one that is left out does not count.
func (r *roster) place(database types.DatabaseID, leftOut types.InstanceID) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.places.Of(database, leftOut)
}

// ranked returns the known instances in the order in which they may own the database, those in the data centre only
// when it is named and there are any.
func (r *roster) ranked(database types.DatabaseID, dataCentre types.DataCentre) []fleet.Instance {
	membership := fleet.Membership{Instances: r.all()}
	return membership.Ranked(policy.Database{Database: database, Members: []policy.Member{{DataCentre: dataCentre}}})
}

// readers returns the instances that follow the store for this one's data centre; the list is not to be changed.
func (r *roster) readers() []fleet.Instance {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.near == nil {
		r.near = append([]fleet.Instance{}, fleet.Membership{Instances: r.byID()}.Readers(r.self.DataCentre)...)
	}
	return r.near
}

// watch returns a channel that is closed at the next change.
func (r *roster) watch() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// wake makes those who wait for a change look again.
func (r *roster) wake() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.signal()
}

func (r *roster) signal() {
	close(r.changed)
	r.changed = make(chan struct{})
}
