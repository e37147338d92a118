package fleet

import (
	"cmp"
	"encoding/json"
	"slices"

	"github.com/pkg/errors"

	"turmericpulley/core/types"
)

// Membership holds the instances of a region, sorted by id, as of one revision of the store.
type Membership struct {
	Revision  types.Revision `json:"-"`
	Instances []Instance     `json:"instances"`
}

// DecodeMembership parses the value that the store holds at the revision.
func DecodeMembership(value []byte, revision types.Revision) (Membership, error) {
	m := Membership{Revision: revision}
	if err := json.Unmarshal(value, &m); err != nil {
		return Membership{}, errors.Wrapf(err, "decoding the membership of revision %s", revision)
	}
	slices.SortFunc(m.Instances, compareIDs)
	return m, nil
}

// Encode returns the value that the store holds for the membership.
func (m Membership) Encode() ([]byte, error) {
	value, err := json.Marshal(m)
	return value, errors.Wrap(err, "encoding the membership")
}

// Find returns the instance with the id.
func (m Membership) Find(id types.InstanceID) (Instance, bool) {
	index, found := slices.BinarySearchFunc(m.Instances, id, func(i Instance, id types.InstanceID) int {
		return cmp.Compare(i.ID, id)
	})
	if !found {
		return Instance{}, false
	}
	return m.Instances[index], true
}

// Live returns the instances that take new work.
func (m Membership) Live() []Instance {
	live := make([]Instance, 0, len(m.Instances))
	for _, i := range m.Instances {
		if i.State == Live {
			live = append(live, i)
		}
	}
	return live
}

// LiveIn returns the instances of the data centre that take new work.
func (m Membership) LiveIn(dataCentre types.DataCentre) []Instance {
	return slices.DeleteFunc(m.Live(), func(i Instance) bool { return i.DataCentre != dataCentre })
}

// DataCentres returns the data centres that have instances, sorted.
func (m Membership) DataCentres() []types.DataCentre {
	dataCentres := make([]types.DataCentre, 0, len(m.Instances))
	for _, i := range m.Instances {
		dataCentres = append(dataCentres, i.DataCentre)
	}
	slices.Sort(dataCentres)
	return slices.Compact(dataCentres)
}

func compareIDs(a, b Instance) int { return cmp.Compare(a.ID, b.ID) }
