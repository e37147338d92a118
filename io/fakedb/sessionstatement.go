package fakedb

import (
	"strconv"
	"strings"
	"time"

	"turmericpulley/io/fakedb/syntax"
)

// runSessionStatement runs a statement on the state of the connection or of its transaction.
func (s *session) runSessionStatement(st syntax.Statement) (*result, error) {
	switch st := st.(type) {
	case syntax.Begin:
		return s.begin(st)
	case syntax.Rollback:
		return s.rollback()
	case syntax.SetAccess:
		return s.setAccess(st)
	case syntax.Set:
		return s.set(st)
	case syntax.Show:
		return s.show(st)
	case syntax.Reset:
		s.settings.reset(st.Name, s.inBlock())
		s.sendChangedParameter(st.Name)
		return &result{tag: "RESET"}, nil
	case syntax.Discard:
		return s.discard()
	case syntax.Prepare:
		return s.prepare(st)
	case syntax.Deallocate:
		return s.deallocate(st)
	default:
		return nil, fail(stateUnsupported, "the stand-in does not support this statement")
	}
}

// inBlock reports whether a transaction block is open.
func (s *session) inBlock() bool {
	s.m.mu.Lock()
	defer s.m.mu.Unlock()
	return s.tx != nil && s.tx.explicit
}

func (s *session) begin(st syntax.Begin) (*result, error) {
	s.m.mu.Lock()
	defer s.m.mu.Unlock()
	r := &result{tag: "BEGIN"}
	if s.tx != nil && s.tx.explicit {
		r.notice = &failure{state: stateActiveTransaction, message: "there is already a transaction in progress"}
		return r, nil
	}
	if st.Access == syntax.ReadWrite && s.m.role != Primary {
		return nil, fail(stateReadOnly, "cannot set transaction read-write mode during recovery")
	}
	tx := s.ensureTransaction()
	tx.explicit = true
	tx.access = st.Access
	return r, nil
}

func (s *session) setAccess(st syntax.SetAccess) (*result, error) {
	s.m.mu.Lock()
	defer s.m.mu.Unlock()
	if st.Access == syntax.ReadWrite && s.m.role != Primary {
		return nil, fail(stateReadOnly, "cannot set transaction read-write mode during recovery")
	}
	if s.tx != nil && st.Access != syntax.DefaultAccess {
		s.tx.access = st.Access
	}
	return &result{tag: "SET"}, nil
}

// runCommit ends a transaction block. A failed one is rolled back; one with writes needs a slot.
func (s *session) runCommit() (*result, error) {
	s.m.mu.Lock()
	tx := s.tx
	hasWrites := tx != nil && !tx.failed && len(tx.writeOrder) > 0
	s.m.mu.Unlock()
	switch {
	case tx == nil:
		return &result{tag: "COMMIT", notice: errNoTransaction}, nil
	case tx.failed:
		return s.rollback()
	case hasWrites:
		return &result{tag: "COMMIT"}, s.withinSlot(0, s.commit)
	default:
		s.m.mu.Lock()
		defer s.m.mu.Unlock()
		return &result{tag: "COMMIT"}, s.commit()
	}
}

var errNoTransaction = &failure{state: stateNoTransaction, message: "there is no transaction in progress"}

func (s *session) rollback() (*result, error) {
	s.m.mu.Lock()
	defer s.m.mu.Unlock()
	r := &result{tag: "ROLLBACK"}
	if s.tx == nil {
		r.notice = errNoTransaction
		return r, nil
	}
	s.abort()
	s.tx = nil
	s.settings.rollback()
	return r, nil
}

func (s *session) set(st syntax.Set) (*result, error) {
	if strings.HasPrefix(st.Name, standInSettingPrefix) {
		return &result{tag: "SET"}, s.m.setDelay(st)
	}
	value := st.Value
	if st.Name == readOnlySetting {
		value = "off"
		if isTrue(st.Value) {
			value = "on"
		}
	}
	s.settings.set(st.Name, value, s.inBlock(), st.Local)
	s.sendChangedParameter(st.Name)
	return &result{tag: "SET"}, nil
}

func isTrue(text string) bool {
	switch strings.ToLower(text) {
	case "on", "true", "yes", "1":
		return true
	default:
		return false
	}
}

// setDelay changes one of the delays of the member.
func (m *Member) setDelay(st syntax.Set) error {
	duration, err := time.ParseDuration(st.Value)
	if err != nil || duration < 0 {
		return fail(stateInvalidParameter, st.Name+` must be a duration such as '5s', not "`+st.Value+`"`)
	}
	switch st.Name {
	case receiveLagSetting:
		m.SetReceiveLag(duration)
	case applyLagSetting:
		m.SetApplyLag(duration)
	case statementTimeSetting:
		m.SetStatementTime(duration)
	default:
		return fail(stateUnknownSetting, `unknown configuration parameter "`+st.Name+`"`)
	}
	return nil
}

func (s *session) show(st syntax.Show) (*result, error) {
	value, ok := s.settings.lookup(st.Name)
	if !ok {
		return nil, fail(stateUnknownSetting, `unknown configuration parameter "`+st.Name+`"`)
	}
	return &result{columns: s.resultColumns(st), rows: []row{{textDatum(value)}}, tag: "SHOW"}, nil
}

// discard runs DISCARD ALL: it resets the settings and drops temporary tables, advisory locks, prepared statements and
// portals.
func (s *session) discard() (*result, error) {
	if s.inBlock() {
		return nil, fail(stateActiveTransaction, "DISCARD ALL cannot run inside a transaction block")
	}
	s.settings.reset("", false)
	s.temporary = tables{}
	s.prepared = map[string]*prepared{}
	s.portals = map[string]*portal{}
	s.m.mu.Lock()
	defer s.m.mu.Unlock()
	s.releaseAllAdvisory()
	return &result{tag: "DISCARD ALL"}, nil
}

func (s *session) prepare(st syntax.Prepare) (*result, error) {
	if _, ok := s.prepared[st.Name]; ok {
		return nil, fail(stateDuplicatePrepared, "prepared statement "+strconv.Quote(st.Name)+" already exists")
	}
	s.prepared[st.Name] = &prepared{statement: st.Body, parameters: parameterTypes(st.Body, nil)}
	return &result{tag: "PREPARE"}, nil
}

func (s *session) deallocate(st syntax.Deallocate) (*result, error) {
	if st.Name == "" {
		s.prepared = map[string]*prepared{}
		return &result{tag: "DEALLOCATE ALL"}, nil
	}
	if _, err := s.findPrepared(st.Name); err != nil {
		return nil, err
	}
	delete(s.prepared, st.Name)
	return &result{tag: "DEALLOCATE"}, nil
}
