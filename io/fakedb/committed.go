package fakedb

import (
	"slices"

	"turmericpulley/core/types"
)

// updateCommitted raises the committed position of a primary to what a majority has received; entries of earlier terms
// only count together with one of its own, since a rival may still replace them until then. The caller holds the lock.
func (m *Member) updateCommitted() {
	if m.role != Primary {
		return
	}
	positions := []types.Position{m.log.last()}
	for target, p := range m.acknowledged {
		if target != m.settings.ID {
			positions = append(positions, min(p, m.log.last()))
		}
	}
	majority := m.settings.Members/2 + 1
	if len(positions) < majority {
		return
	}
	slices.Sort(positions)
	reached := positions[len(positions)-majority]
	if reached > m.committed && m.log.termAt(reached) == m.durable.Term {
		m.committed = reached
		m.changed.broadcast()
	}
}
