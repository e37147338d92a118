package fleet

import (
	"cmp"
	"slices"

	"turmericpulley/core/types"
)

const (
	// distanceFactor is how many times less loaded an instance in another data centre must be to get a database rather than one in the
	// data centre of the primary: each statement then crosses between data centres once more.
	distanceFactor = 2
	// moveFactor is how many times less loaded another instance must be for an owner to hand a database over. Moving a database between
	// two instances that differ by less would not pay for the handover, and the next change could move it back.
	moveFactor = 2
)

// Placement spreads databases over instances by their processor time. It answers fleets in which a few machines have several times the
// processor time of the others: all work on a database passes its owner, and an owner that is too slow for it is taken for dead.
type Placement struct {
	// Instances are the known instances, Owned how many databases each of them owns.
	Instances []Instance
	Owned     map[types.InstanceID]int
}

// Successors returns the instances to which the owner should hand the database over, the best first; none when it should keep it. It
// moves closer to the primary or to a machine of a higher processor class, and never to one of a lower class.
func (p Placement) Successors(owner Instance, database types.DatabaseID, primary types.DataCentre) []Instance {
	current := p.load(owner, 0)
	return slices.DeleteFunc(p.Candidates(database, primary), func(i Instance) bool {
		if i.ID == owner.ID || processorClass(i) < processorClass(owner) {
			return true
		}
		isCloser := i.DataCentre == primary && owner.DataCentre != primary
		if !isCloser && !i.IsLarger(owner) {
			return true
		}
		return current < p.load(i, 1)*gainNeeded(owner.DataCentre == primary, i.DataCentre == primary)
	})
}

// gainNeeded returns how many times less loaded the next owner must be than the present one, by whether each is near the primary.
func gainNeeded(isOwnerNear, isNextNear bool) float64 {
	switch {
	case isOwnerNear && !isNextNear:
		return moveFactor * distanceFactor
	case isNextNear && !isOwnerNear:
		return 1.0 / distanceFactor
	default:
		return moveFactor
	}
}

// IsLarger reports whether the instance is of a higher processor class than the other one.
func (i Instance) IsLarger(than Instance) bool { return processorClass(i) > processorClass(than) }

// Candidates returns the live instances in the order in which they should get the database: by the load that they would then have, where
// one in another data centre than the primary's counts distanceFactor times.
func (p Placement) Candidates(database types.DatabaseID, primary types.DataCentre) []Instance {
	ranked := rankByProcessor(string(database), Membership{Instances: p.Instances}.Live())
	cost := func(i Instance) float64 {
		if primary != "" && i.DataCentre != primary {
			return p.load(i, 1) * distanceFactor
		}
		return p.load(i, 1)
	}
	slices.SortStableFunc(ranked, func(a, b Instance) int { return cmp.Compare(cost(a), cost(b)) })
	return ranked
}

// load returns how many databases the instance would own for each thousandth of a core, with some more than now. Instances whose
// processor time is unknown count as equal.
func (p Placement) load(i Instance, more int) float64 {
	return float64(p.Owned[i.ID]+more) / float64(max(i.Processor, 1))
}
