package fleet

import (
	"slices"

	"turmericpulley/core/types"
)

// Change is one change to a membership: Join, Leave or Remove.
type Change interface{ change() }

// Join adds an instance or replaces an earlier incarnation of it.
type Join struct{ Instance Instance }

// Leave marks an instance as leaving.
type Leave struct {
	ID          types.InstanceID
	Incarnation Incarnation
}

// Remove deletes an instance from the membership.
type Remove struct {
	ID          types.InstanceID
	Incarnation Incarnation
}

func (Join) change()   {}
func (Leave) change()  {}
func (Remove) change() {}

// With returns the membership after the changes and whether it differs. A Join is ignored unless its incarnation is higher
// than the stored one; a Leave or Remove is ignored unless its incarnation is the stored one.
func (m Membership) With(changes []Change) (Membership, bool) {
	next := Membership{Revision: m.Revision, Instances: slices.Clone(m.Instances)}
	changed := false
	for _, c := range changes {
		if next.apply(c) {
			changed = true
		}
	}
	return next, changed
}

// IsNoOp reports whether the change would leave the membership as it is, because it was applied already or refers to
// another incarnation.
func (m Membership) IsNoOp(c Change) bool {
	_, changed := m.With([]Change{c})
	return !changed
}

func (m *Membership) apply(c Change) bool {
	switch c := c.(type) {
	case Join:
		return m.join(c.Instance)
	case Leave:
		index := m.index(c.ID, c.Incarnation)
		if index < 0 || m.Instances[index].State == Leaving {
			return false
		}
		m.Instances[index].State = Leaving
		return true
	case Remove:
		index := m.index(c.ID, c.Incarnation)
		if index < 0 {
			return false
		}
		m.Instances = slices.Delete(m.Instances, index, index+1)
		return true
	default:
		return false
	}
}

func (m *Membership) join(joining Instance) bool {
	index, found := slices.BinarySearchFunc(m.Instances, joining, compareIDs)
	if !found {
		m.Instances = slices.Insert(m.Instances, index, joining)
		return true
	}
	if m.Instances[index].Incarnation >= joining.Incarnation {
		return false
	}
	m.Instances[index] = joining
	return true
}

func (m *Membership) index(id types.InstanceID, incarnation Incarnation) int {
	return slices.IndexFunc(m.Instances, func(i Instance) bool {
		return i.ID == id && i.Incarnation == incarnation
	})
}
