package fakedb

import (
	"strconv"
	"strings"
	"time"

	"turmericpulley/core/types"
	"turmericpulley/io/fakedb/syntax"
)

const (
	statusCall    = "pulley_status"
	watchCall     = "pulley_watch"
	claimCall     = "pulley_claim"
	fenceCall     = "pulley_fence"
	promoteCall   = "pulley_promote"
	followCall    = "pulley_follow"
	peaksCall     = "pulley_standin_peaks"
	terminateCall = "pg_terminate_backend"
)

// isControl reports whether a statement reads or changes the state of the member itself. Such statements need no slot.
func isControl(st syntax.Statement) bool {
	switch st := st.(type) {
	case syntax.Activity:
		return true
	case syntax.Set:
		return strings.HasPrefix(st.Name, standInSettingPrefix)
	case syntax.Call:
		switch st.Name {
		case statusCall, watchCall, claimCall, fenceCall, promoteCall, followCall, peaksCall, terminateCall:
			return true
		}
	default:
	}
	return false
}

// runControl runs a control statement.
func (s *session) runControl(st syntax.Statement, args arguments) (*result, error) {
	switch st := st.(type) {
	case syntax.Activity:
		return s.activity(st, args)
	case syntax.Set:
		return s.set(st)
	case syntax.Call:
		return s.runControlCall(st, args)
	default:
		return nil, fail(stateUnsupported, "the stand-in does not support this statement")
	}
}

func (s *session) runControlCall(st syntax.Call, args arguments) (*result, error) {
	switch st.Name {
	case statusCall:
		if err := checkArgumentCount(st, 0, 0); err != nil {
			return nil, err
		}
		return s.m.statusForCaller(s).result(), nil
	case watchCall:
		return s.runWatch(st, args)
	case peaksCall:
		return s.reportPeaks(st), nil
	case terminateCall:
		return s.runTerminate(st, args)
	default:
		return s.runStateChange(st, args)
	}
}

// statusForCaller returns the status and, when the session is an owner's, records the call.
func (m *Member) statusForCaller(s *session) Status {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.recordOwnerCall(s)
	return m.status()
}

// recordOwnerCall stores the time of a status or watch call by an owner; the caller holds the lock.
func (m *Member) recordOwnerCall(s *session) {
	if s.fromOwner {
		m.ownerCalls.record(s.epoch, time.Now())
	}
}

// runStateChange runs a call that may change the epoch, the term or the role.
func (s *session) runStateChange(st syntax.Call, args arguments) (*result, error) {
	count := map[string]int{claimCall: 1, fenceCall: 2, promoteCall: 2, followCall: 3}[st.Name]
	if err := checkArgumentCount(st, count, count); err != nil {
		return nil, err
	}
	var numbers [2]int64
	for i := range min(count, len(numbers)) {
		var err error
		if numbers[i], err = args.integer(st.Arguments[i]); err != nil {
			return nil, err
		}
	}
	epoch, term := types.Epoch(numbers[0]), types.Term(numbers[1])
	var status Status
	var err error
	switch st.Name {
	case claimCall:
		status, err = s.m.claim(epoch)
	case fenceCall:
		status, err = s.m.fence(epoch, term)
	case promoteCall:
		status, err = s.m.promote(epoch, term)
	default:
		var address string
		if address, err = args.text(st.Arguments[2]); err == nil {
			status, err = s.m.follow(epoch, term, address)
		}
	}
	if err != nil {
		return nil, err
	}
	return status.result(), nil
}

func (s *session) reportPeaks(st syntax.Call) *result {
	list := s.m.Peaks()
	rows := make([]row, len(list))
	for i, p := range list {
		rows[i] = row{
			textDatum(string(p.Customer)),
			numberDatum(int64(p.Connections)),
			numberDatum(int64(p.Statements)),
		}
	}
	return rowsResult(s.resultColumns(st), rows)
}

// runTerminate ends the session with the given process number and returns whether there was one.
func (s *session) runTerminate(st syntax.Call, args arguments) (*result, error) {
	number, err := singleInteger(st, args)
	if err != nil {
		return nil, err
	}
	s.m.mu.Lock()
	defer s.m.mu.Unlock()
	other := s.m.sessions[processID(number)]
	if other != nil {
		other.terminate(failFatal(stateAdminShutdown, "terminating connection due to administrator command"))
	}
	return rowsResult(s.resultColumns(st), []row{{boolDatum(other != nil)}}), nil
}

// activity returns the state of the connection with the given process number, or no row when there is none.
func (s *session) activity(st syntax.Activity, args arguments) (*result, error) {
	number, err := args.integer(st.Process)
	if err != nil {
		return nil, err
	}
	s.m.mu.Lock()
	defer s.m.mu.Unlock()
	r := &result{columns: s.resultColumns(st)}
	if other := s.m.sessions[processID(number)]; other != nil {
		r.rows = []row{{textDatum(other.state())}}
	}
	r.tag = "SELECT " + strconv.Itoa(len(r.rows))
	return r, nil
}
