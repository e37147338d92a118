package fleet

import (
	"github.com/cespare/xxhash/v2"

	"turmericpulley/core/types"
)

// Ranks holds the rank of one instance among all live instances as candidates for the ownership of each database. When an
// instance changes, one comparison per database updates the ranks; the instances are not sorted again.
type Ranks struct {
	self   Instance
	others map[types.InstanceID]Instance
	// databases holds the ranks for the databases that Of was called with.
	databases map[types.DatabaseID]databaseRank
}

// databaseRank is how many other instances precede this one for the database whose name has the hash.
type databaseRank struct {
	hash      uint64
	preceding int
}

// NewRanks returns the ranks of the instance while there are no others.
func NewRanks(self Instance) *Ranks {
	return &Ranks{self: self, others: map[types.InstanceID]Instance{}, databases: map[types.DatabaseID]databaseRank{}}
}

// Put adds or updates another instance; one that is not live is removed.
func (r *Ranks) Put(i Instance) {
	if i.State != Live {
		r.Remove(i.ID)
		return
	}
	known, present := r.others[i.ID]
	r.others[i.ID] = i
	if present && processorClass(known) == processorClass(i) {
		return
	}
	if present {
		r.adjust(known, -1)
	}
	r.adjust(i, 1)
}

// Remove removes another instance.
func (r *Ranks) Remove(id types.InstanceID) {
	if i, present := r.others[id]; present {
		delete(r.others, id)
		r.adjust(i, -1)
	}
}

// adjust adds delta to the rank for each database for which the instance precedes this one.
func (r *Ranks) adjust(i Instance, delta int) {
	for database, entry := range r.databases {
		if precedesAsOwner(entry.hash, i, r.self) {
			entry.preceding += delta
			r.databases[database] = entry
		}
	}
}

// Of returns how many live instances precede this one for the database, not counting the excluded one.
func (r *Ranks) Of(database types.DatabaseID, excluded types.InstanceID) int {
	entry, found := r.databases[database]
	if !found {
		entry.hash = xxhash.Sum64String(string(database))
		for _, i := range r.others {
			if precedesAsOwner(entry.hash, i, r.self) {
				entry.preceding++
			}
		}
		r.databases[database] = entry
	}
	if i, present := r.others[excluded]; present && precedesAsOwner(entry.hash, i, r.self) {
		return entry.preceding - 1
	}
	return entry.preceding
}
