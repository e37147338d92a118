package fleet

import (
	"github.com/cespare/xxhash/v2"

	"turmericpulley/core/types"
)

// Places holds the place of one instance in the order in which live instances may own each database. A change of the
// instances changes the places by one comparison for each database, instead of ranking all instances for each again.
type Places struct {
	self   Instance
	others map[types.InstanceID]Instance
	// known holds the databases that were asked for.
	known map[types.DatabaseID]place
}

// place is how many others come before the instance for the database whose name has the hash.
type place struct {
	hash   uint64
	before int
}

// NewPlaces returns the places of the instance while it is the only one.
func NewPlaces(self Instance) *Places {
	return &Places{self: self, others: map[types.InstanceID]Instance{}, known: map[types.DatabaseID]place{}}
}

// Put notes what another instance is now.
func (p *Places) Put(i Instance) {
	if i.State != Live {
		p.Remove(i.ID)
		return
	}
	_, present := p.others[i.ID]
	p.others[i.ID] = i
	if !present {
		p.shift(i, 1)
	}
}

// Remove forgets another instance.
func (p *Places) Remove(id types.InstanceID) {
	if i, present := p.others[id]; present {
		delete(p.others, id)
		p.shift(i, -1)
	}
}

// shift counts the instance in or out where it comes before this one.
func (p *Places) shift(i Instance, by int) {
	for database, one := range p.known {
		if precedes(one.hash, i, p.self) {
			one.before += by
			p.known[database] = one
		}
	}
}

// Of returns how many live instances come before this one for the database; the one that is left out does not count.
func (p *Places) Of(database types.DatabaseID, leftOut types.InstanceID) int {
	one, known := p.known[database]
	if !known {
		one.hash = xxhash.Sum64String(string(database))
		for _, i := range p.others {
			if precedes(one.hash, i, p.self) {
				one.before++
			}
		}
		p.known[database] = one
	}
	if i, present := p.others[leftOut]; present && precedes(one.hash, i, p.self) {
		return one.before - 1
	}
	return one.before
}
