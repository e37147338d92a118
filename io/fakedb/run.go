package fakedb

import (
	"strconv"
	"time"

	"turmericpulley/io/fakedb/syntax"
)

// run executes one statement.
func (s *session) run(st syntax.Statement, args arguments) (*result, error) {
	control := isControl(st)
	if err := s.startStatement(st, control); err != nil {
		return nil, err
	}
	if control {
		return s.runControl(st, args)
	}
	switch st := st.(type) {
	case syntax.Execute:
		return s.runPrepared(st, args)
	case syntax.Insert, syntax.Update, syntax.Delete, syntax.Select, syntax.Constant, syntax.Call, syntax.CreateTemp:
		return s.runData(st, args)
	case syntax.Commit:
		return s.runCommit()
	default:
		return s.runSessionStatement(st)
	}
}

// startStatement marks the session as running. It returns an error when the session has ended, or when the transaction has
// failed and the statement does not end it.
func (s *session) startStatement(st syntax.Statement, control bool) error {
	s.m.mu.Lock()
	defer s.m.mu.Unlock()
	s.running = true
	if !control {
		s.ranStatement = true
	}
	if s.endErr != nil {
		return s.endErr
	}
	if s.tx == nil || !s.tx.failed {
		return nil
	}
	switch st.(type) {
	case syntax.Commit, syntax.Rollback:
		return nil
	default:
		return fail(stateFailedTransaction,
			"current transaction is aborted, commands ignored until end of transaction block")
	}
}

// runPrepared runs EXECUTE: the statement that PREPARE or a Parse message stored under a name.
func (s *session) runPrepared(st syntax.Execute, args arguments) (*result, error) {
	p, err := s.findPrepared(st.Name)
	if err != nil {
		return nil, err
	}
	if len(st.Arguments) != len(p.parameters) {
		return nil, fail(stateWrongParameterCount, "wrong number of parameters for prepared statement "+strconv.Quote(st.Name))
	}
	bound := make(arguments, len(st.Arguments))
	for i, o := range st.Arguments {
		if bound[i], err = args.value(o); err != nil {
			return nil, err
		}
	}
	return s.run(p.statement, bound)
}

// runData runs a statement that needs a slot.
func (s *session) runData(st syntax.Statement, args arguments) (*result, error) {
	extra, err := sleepTime(st, args)
	if err != nil {
		return nil, err
	}
	var r *result
	err = s.withinSlot(extra, func() error {
		s.ensureTransaction()
		r, err = s.runDataLocked(st, args)
		return err
	})
	return r, err
}

// withinSlot takes a slot, waits for the statement time and the extra time, and then calls act with the member's lock held.
func (s *session) withinSlot(extra time.Duration, act func() error) error {
	statementTime := s.countStatementStart()
	defer s.countStatementEnd()
	if err := s.m.slots.acquire(s); err != nil {
		return err
	}
	s.slotLost = false
	defer func() {
		if !s.slotLost {
			s.m.slots.release()
		}
	}()
	if err := s.pause(statementTime + extra); err != nil {
		return err
	}
	s.m.mu.Lock()
	defer s.m.mu.Unlock()
	if s.endErr != nil {
		return s.endErr
	}
	return act()
}

// countStatementStart counts the statement and its connection for the customer, and returns the statement time.
func (s *session) countStatementStart() time.Duration {
	s.m.mu.Lock()
	defer s.m.mu.Unlock()
	s.m.usage.addStatements(s.customer(), 1)
	s.updateConnectionCount(true)
	return s.m.delays.statement
}

// countStatementEnd stops counting the statement; its connection stays counted until the response ends.
func (s *session) countStatementEnd() {
	s.m.mu.Lock()
	defer s.m.mu.Unlock()
	s.m.usage.addStatements(s.customer(), -1)
}

// updateConnectionCount counts the connection for its customer while the connection runs a statement or has an open
// transaction block. The caller holds the member's lock.
func (s *session) updateConnectionCount(active bool) {
	shouldCount := active || s.tx != nil && s.tx.explicit
	customer := s.customer()
	if s.counted && (!shouldCount || customer != s.countedFor) {
		s.m.usage.addConnections(s.countedFor, -1)
		s.counted = false
	}
	if shouldCount && !s.counted {
		s.m.usage.addConnections(customer, 1)
		s.counted = true
		s.countedFor = customer
	}
}

// sleepTime returns the duration of a pg_sleep call, 0 for other statements.
func sleepTime(st syntax.Statement, args arguments) (time.Duration, error) {
	call, ok := st.(syntax.Call)
	if !ok || call.Name != "pg_sleep" {
		return 0, nil
	}
	if err := checkArgumentCount(call, 1, 1); err != nil {
		return 0, err
	}
	text, err := args.text(call.Arguments[0])
	if err != nil {
		return 0, err
	}
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return 0, fail(stateInvalidText, `invalid input syntax for type double precision: "`+text+`"`)
	}
	return time.Duration(seconds * float64(time.Second)), nil
}
