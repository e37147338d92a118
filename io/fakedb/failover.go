package fakedb

import "turmericpulley/core/types"

// persist writes a new durable state to the state file and then makes it the current one; the caller holds the lock.
func (m *Member) persist(next durableState) error {
	if err := m.journal.write(record{Durable: &next}); err != nil {
		return err
	}
	m.durable = next
	m.changed.broadcast()
	return nil
}

// claim makes an epoch the highest and ends the connections of lower epochs. When the caller's own connection is one of
// them, it ends after the response.
func (m *Member) claim(epoch types.Epoch) (Status, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if epoch < m.durable.Epoch {
		return Status{}, fail(stateNotInPrerequisiteState, "a higher epoch has claimed this member; check the ownership again")
	}
	if epoch > m.durable.Epoch {
		next := m.durable
		next.PreviousEpoch = next.Epoch
		next.Epoch = epoch
		if err := m.persist(next); err != nil {
			return Status{}, err
		}
		m.ownerCalls.mergeBelow(epoch)
		m.terminateOlderEpochs(epoch)
		m.logger.Info("claimed", "target", m.settings.ID, "epoch", epoch)
	}
	return m.status(), nil
}

// terminateOlderEpochs ends the connections that were opened under a lower epoch; the caller holds the lock.
func (m *Member) terminateOlderEpochs(epoch types.Epoch) {
	for _, s := range m.sessions {
		if s.fromOwner && s.epoch < epoch {
			s.terminate(failFatal(stateAdminShutdown, "terminating connection because a higher epoch has claimed the member"))
		}
	}
}

// requireEpoch returns an error unless the epoch is the highest; the caller holds the lock.
func (m *Member) requireEpoch(epoch types.Epoch) error {
	if epoch != m.durable.Epoch {
		return fail(stateNotInPrerequisiteState, "epoch "+epoch.String()+" is not the highest epoch "+m.durable.Epoch.String()+
			"; claim the member first")
	}
	return nil
}

// fence raises the fenced term. A primary becomes a replica, and a replica stops following its primary. After that, the member
// can be promoted at the fenced term only, and can follow primaries of that or a higher term only.
func (m *Member) fence(epoch types.Epoch, term types.Term) (Status, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.requireEpoch(epoch); err != nil {
		return Status{}, err
	}
	if term <= m.durable.FencedTerm || term <= m.durable.Term {
		return Status{}, fail(stateNotInPrerequisiteState, "term "+term.String()+" is not above term "+m.durable.Term.String()+
			" and fenced term "+m.durable.FencedTerm.String()+"; use a higher one")
	}
	next := m.durable
	next.FencedTerm = term
	if err := m.persist(next); err != nil {
		return Status{}, err
	}
	m.stepDown()
	m.upstream.retarget("")
	m.logger.Info("fenced", "target", m.settings.ID, "fencedTerm", term)
	return m.status(), nil
}

// stepDown makes a primary a replica and ends every connection that has run a statement, since its transaction may have
// begun on the primary. Connections that have run only control statements stay. The caller holds the lock.
func (m *Member) stepDown() {
	if m.role != Primary {
		return
	}
	m.role = Replica
	m.committed = 0
	clear(m.acknowledged)
	for _, s := range m.sessions {
		if s.ranStatement {
			s.terminate(failFatal(stateAdminShutdown, "terminating connection because the member is no longer the primary"))
		}
	}
	m.changed.broadcast()
}

// promote makes the member the primary of a term at which it is fenced.
func (m *Member) promote(epoch types.Epoch, term types.Term) (Status, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.requireEpoch(epoch); err != nil {
		return Status{}, err
	}
	if m.role == Primary && m.durable.Term == term {
		return m.status(), nil
	}
	if m.durable.FencedTerm != term || m.durable.Term >= term {
		return Status{}, fail(stateNotInPrerequisiteState, "the member is fenced at term "+m.durable.FencedTerm.String()+
			" and already at term "+m.durable.Term.String()+"; fence it at a higher term first")
	}
	next := m.durable
	next.Term = term
	if err := m.persist(next); err != nil {
		return Status{}, err
	}
	m.upstream.retarget("")
	m.applyAll()
	m.role = Primary
	m.committed = 0
	clear(m.acknowledged)
	if err := m.append(nil); err != nil {
		m.role = Replica
		return Status{}, err
	}
	m.logger.Info("promoted", "target", m.settings.ID, "term", term, "position", m.log.lastPosition())
	return m.status(), nil
}

// follow makes the member a replica of the primary of a term.
func (m *Member) follow(epoch types.Epoch, term types.Term, address string) (Status, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.requireEpoch(epoch); err != nil {
		return Status{}, err
	}
	if term < m.durable.FencedTerm || term < m.durable.Term {
		return Status{}, fail(stateNotInPrerequisiteState, "term "+term.String()+" is below term "+m.durable.Term.String()+
			" or fenced term "+m.durable.FencedTerm.String()+"; follow the newest primary")
	}
	if m.role == Primary && m.durable.Term == term {
		return Status{}, fail(stateNotInPrerequisiteState, "the member is itself the primary of term "+term.String())
	}
	if m.durable.Term == term && m.upstream.address == address {
		return m.status(), nil
	}
	next := m.durable
	next.Term = term
	if err := m.persist(next); err != nil {
		return Status{}, err
	}
	m.stepDown()
	m.upstream.retarget(address)
	m.changed.broadcast()
	m.logger.Info("following", "target", m.settings.ID, "term", term, "primary", address)
	return m.status(), nil
}
