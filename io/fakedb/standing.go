package fakedb

import "turmericpulley/core/types"

// remember writes new promises to the state file and then takes them over; the caller holds the lock.
func (m *Member) remember(next promises) error {
	if err := m.journal.write(record{Promises: &next}); err != nil {
		return err
	}
	m.promises = next
	m.changed.broadcast()
	return nil
}

// claim makes an epoch the highest and ends the connections of lower ones; that of the caller ends after its answer.
func (m *Member) claim(epoch types.Epoch) (Status, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if epoch < m.promises.Epoch {
		return Status{}, fail(stateNotInRequiredState, "a higher epoch claimed this member; validate the ownership again")
	}
	if epoch > m.promises.Epoch {
		next := m.promises
		next.PreviousEpoch = next.Epoch
		next.Epoch = epoch
		if err := m.remember(next); err != nil {
			return Status{}, err
		}
		m.ownerCalls.raise(epoch)
		m.evict(epoch)
		m.logger.Info("claimed", "target", m.settings.ID, "epoch", epoch)
	}
	return m.status(), nil
}

// evict ends the connections that were opened under a lower epoch.
func (m *Member) evict(epoch types.Epoch) {
	for _, s := range m.sessions {
		if s.owned && s.epoch < epoch {
			s.terminate(failFatal(stateAdminShutdown, "terminating connection because a higher epoch claimed the member"))
		}
	}
}

// requireEpoch refuses callers whose epoch is not the highest.
func (m *Member) requireEpoch(epoch types.Epoch) error {
	if epoch != m.promises.Epoch {
		return fail(stateNotInRequiredState, "epoch "+epoch.String()+" is not the highest, "+m.promises.Epoch.String()+
			"; claim the member first")
	}
	return nil
}

// fence makes the member refuse writes and replication of terms below the given one.
func (m *Member) fence(epoch types.Epoch, term types.Term) (Status, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.requireEpoch(epoch); err != nil {
		return Status{}, err
	}
	if term <= m.promises.FencedTerm || term <= m.promises.Term {
		return Status{}, fail(stateNotInRequiredState, "term "+term.String()+" is not above term "+m.promises.Term.String()+
			" and fenced term "+m.promises.FencedTerm.String()+"; use a higher one")
	}
	next := m.promises
	next.FencedTerm = term
	if err := m.remember(next); err != nil {
		return Status{}, err
	}
	m.stepDown()
	m.upstream.retarget("")
	m.logger.Info("fenced", "target", m.settings.ID, "fencedTerm", term)
	return m.status(), nil
}

// stepDown makes a primary a replica and ends every connection that may carry its work.
func (m *Member) stepDown() {
	if m.role != Primary {
		return
	}
	m.role = Replica
	m.committed = 0
	clear(m.received)
	for _, s := range m.sessions {
		if s.worked {
			s.terminate(failFatal(stateAdminShutdown, "terminating connection because the member is no longer the primary"))
		}
	}
	m.changed.broadcast()
}

// promote makes a member that is fenced at exactly the term its primary.
func (m *Member) promote(epoch types.Epoch, term types.Term) (Status, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.requireEpoch(epoch); err != nil {
		return Status{}, err
	}
	if m.role == Primary && m.promises.Term == term {
		return m.status(), nil
	}
	if m.promises.FencedTerm != term || m.promises.Term >= term {
		return Status{}, fail(stateNotInRequiredState, "the member is fenced at term "+m.promises.FencedTerm.String()+
			" and knows a primary of term "+m.promises.Term.String()+"; fence it at a higher term first")
	}
	next := m.promises
	next.Term = term
	if err := m.remember(next); err != nil {
		return Status{}, err
	}
	m.upstream.retarget("")
	m.applyAll()
	m.role = Primary
	m.committed = 0
	clear(m.received)
	if err := m.append(nil); err != nil {
		m.role = Replica
		return Status{}, err
	}
	m.logger.Info("promoted", "target", m.settings.ID, "term", term, "position", m.log.last())
	return m.status(), nil
}

// follow makes the member a replica of a primary.
func (m *Member) follow(epoch types.Epoch, term types.Term, address string) (Status, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.requireEpoch(epoch); err != nil {
		return Status{}, err
	}
	if term < m.promises.FencedTerm || term < m.promises.Term {
		return Status{}, fail(stateNotInRequiredState, "term "+term.String()+" is below term "+m.promises.Term.String()+
			" or fenced term "+m.promises.FencedTerm.String()+"; follow the newest primary")
	}
	if m.role == Primary && m.promises.Term == term {
		return Status{}, fail(stateNotInRequiredState, "the member is itself the primary of term "+term.String())
	}
	if m.promises.Term == term && m.upstream.address == address {
		return m.status(), nil
	}
	next := m.promises
	next.Term = term
	if err := m.remember(next); err != nil {
		return Status{}, err
	}
	m.stepDown()
	m.upstream.retarget(address)
	m.changed.broadcast()
	m.logger.Info("following", "target", m.settings.ID, "term", term, "primary", address)
	return m.status(), nil
}
