package fakedb

import (
	"slices"

	"turmericpulley/core/types"
)

// updateCommitted raises the committed position of a primary to the highest one that a majority has received. An entry of
// an earlier term is committed only together with a later entry of the primary's own term. Until then, a primary with a
// newer log may still replace it. The caller holds the lock.
func (m *Member) updateCommitted() {
	if m.role != Primary {
		return
	}
	positions := []types.Position{m.log.lastPosition()}
	for target, p := range m.acknowledged {
		if target != m.settings.ID {
			positions = append(positions, min(p, m.log.lastPosition()))
		}
	}
	majority := m.settings.Members/2 + 1
	if len(positions) < majority {
		return
	}
	slices.Sort(positions)
	candidate := positions[len(positions)-majority]
	if candidate > m.committed && m.log.termAt(candidate) == m.durable.Term {
		m.committed = candidate
		m.changed.broadcast()
	}
}
