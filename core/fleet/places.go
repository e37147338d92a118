package fleet

import (
	"github.com/cespare/xxhash/v2"

	"turmericpulley/core/types"
)

// Ranks holds the place of one instance in the order in which live instances may own each database. A change of the
// instances changes the places by one comparison for each database, instead of ranking all instances for each again.
type Ranks struct {
	self   Instance
	others map[types.InstanceID]Instance
	// databases holds the databases that were asked for.
	databases map[types.DatabaseID]databaseRank
}

// databaseRank is how many others come before the instance for the database whose name has the hash.
type databaseRank struct {
	hash      uint64
	preceding int
}

// NewRanks returns the places of the instance while it is the only one.
func NewRanks(self Instance) *Ranks {
	return &Ranks{self: self, others: map[types.InstanceID]Instance{}, databases: map[types.DatabaseID]databaseRank{}}
}

// Put notes what another instance is now.
func (p *Ranks) Put(i Instance) {
	if i.State != Live {
		p.Remove(i.ID)
		return
	}
	_, present := p.others[i.ID]
	p.others[i.ID] = i
	if !present {
		p.adjust(i, 1)
	}
}

// Remove forgets another instance.
func (p *Ranks) Remove(id types.InstanceID) {
	if i, present := p.others[id]; present {
		delete(p.others, id)
		p.adjust(i, -1)
	}
}

// adjust counts the instance in or out where it comes before this one.
func (p *Ranks) adjust(i Instance, by int) {
	for database, one := range p.databases {
		if precedes(one.hash, i, p.self) {
			one.preceding += by
			p.databases[database] = one
		}
	}
}

// Of returns how many live instances come before this one for the database; the one that is left out does not count.
func (p *Ranks) Of(database types.DatabaseID, leftOut types.InstanceID) int {
	one, known := p.databases[database]
	if !known {
		one.hash = xxhash.Sum64String(string(database))
		for _, i := range p.others {
			if precedes(one.hash, i, p.self) {
				one.preceding++
			}
		}
		p.databases[database] = one
	}
	if i, present := p.others[leftOut]; present && precedes(one.hash, i, p.self) {
		return one.preceding - 1
	}
	return one.preceding
}
