package fakedb

import (
	"strconv"
	"time"

	"turmericpulley/io/fakedb/syntax"
)

// run carries out one statement.
func (s *session) run(st syntax.Statement, args arguments) (*result, error) {
	control := isControl(st)
	if err := s.arrive(st, control); err != nil {
		return nil, err
	}
	if control {
		return s.runControl(st, args)
	}
	switch st := st.(type) {
	case syntax.Execute:
		return s.runNamed(st, args)
	case syntax.Insert, syntax.Update, syntax.Delete, syntax.Select, syntax.Constant, syntax.Call, syntax.CreateTemp:
		return s.runData(st, args)
	case syntax.Commit:
		return s.runCommit()
	default:
		return s.runSession(st)
	}
}

// arrive notes a statement and refuses it when its transaction has failed.
func (s *session) arrive(st syntax.Statement, control bool) error {
	s.m.mu.Lock()
	defer s.m.mu.Unlock()
	s.running = true
	if !control {
		s.worked = true
	}
	if s.ended != nil {
		return s.ended
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

// runNamed runs a statement that PREPARE or Parse named.
func (s *session) runNamed(st syntax.Execute, args arguments) (*result, error) {
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

// runData runs a statement that reads or writes rows, within a slot.
func (s *session) runData(st syntax.Statement, args arguments) (*result, error) {
	extra, err := sleepTime(st, args)
	if err != nil {
		return nil, err
	}
	var r *result
	err = s.withinSlot(extra, func() error {
		s.open()
		r, err = s.data(st, args)
		return err
	})
	return r, err
}

// withinSlot holds a slot for the statement time and then acts under the member's lock.
func (s *session) withinSlot(extra time.Duration, act func() error) error {
	span := s.enter()
	defer s.leave()
	if err := s.m.slots.acquire(s); err != nil {
		return err
	}
	s.slotLost = false
	defer func() {
		if !s.slotLost {
			s.m.slots.release()
		}
	}()
	if err := s.pause(span + extra); err != nil {
		return err
	}
	s.m.mu.Lock()
	defer s.m.mu.Unlock()
	if s.ended != nil {
		return s.ended
	}
	return act()
}

// enter counts the statement and returns the time it takes.
func (s *session) enter() time.Duration {
	s.m.mu.Lock()
	defer s.m.mu.Unlock()
	s.m.peaks.addStatements(s.customer(), 1)
	s.updateHolding(true)
	return s.m.lags.statement
}

func (s *session) leave() {
	s.m.mu.Lock()
	defer s.m.mu.Unlock()
	s.m.peaks.addStatements(s.customer(), -1)
}

// updateHolding counts the connection for its customer while it runs a statement or holds a transaction; the caller holds
// the member's lock.
func (s *session) updateHolding(active bool) {
	wanted := active || s.tx != nil && s.tx.explicit
	customer := s.customer()
	if s.holding && (!wanted || customer != s.holdingAs) {
		s.m.peaks.addConnections(s.holdingAs, -1)
		s.holding = false
	}
	if wanted && !s.holding {
		s.m.peaks.addConnections(customer, 1)
		s.holding = true
		s.holdingAs = customer
	}
}

// sleepTime returns how long pg_sleep takes, 0 for other statements.
func sleepTime(st syntax.Statement, args arguments) (time.Duration, error) {
	call, ok := st.(syntax.Call)
	if !ok || call.Name != "pg_sleep" {
		return 0, nil
	}
	if err := expectArguments(call, 1, 1); err != nil {
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
