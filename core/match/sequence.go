package match

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"turmericpulley/core/clock"
	"turmericpulley/core/stmt"
)

const (
	// SettlingTime is how long after a begin or a failure a connection rests before it serves another statement or transaction. Most
	// second answers have arrived then; an idle connection that has received one is closed.
	SettlingTime = 100 * time.Millisecond
	// MaxLateness is how late a second answer to a failure is reckoned with when a statement fails.
	MaxLateness = time.Second
)

// Sequence is the answers that have arrived on one connection. The zero value is that of a new connection. Only one goroutine may
// use it.
type Sequence struct {
	signed  signedAnswers
	answers uint64
	state   stmt.State
	// unsignedAt, begunAt and failedAt are when the newest success without a signature, the newest begin among them and the newest
	// failure arrived; zero when none has.
	unsignedAt, begunAt, failedAt clock.Moment
}

// signedAnswer is the hashes of an answer's signature and rows.
type signedAnswer struct{ signature, rows uint64 }

// Answers returns the number of answers that belonged to their statements.
func (s *Sequence) Answers() uint64 { return s.answers }

// State returns the state of the connection after the last of them.
func (s *Sequence) State() stmt.State { return s.state }

// SettledAt returns when all second answers have arrived that could open a transaction or refuse a statement. Those to other statements
// of the proxy cannot be taken for the answer to a caller's statement.
func (s *Sequence) SettledAt() clock.Moment {
	if latest := max(s.begunAt, s.failedAt); latest != 0 {
		return latest.Add(SettlingTime)
	}
	return 0
}

// Check returns whether the answer, which arrived now, belongs to the statement, which waits for the next answer on the connection. It
// records the answer unless the verdict is Repeated or Misplaced.
//
// A member signs each answer to a caller's statement and no answer to a statement of the proxy, so that a signature that was seen before
// belongs to an earlier statement. Failures have no signature: one is the statement's own if nothing unsigned came shortly before it.
func (s *Sequence) Check(statement stmt.Statement, r stmt.Reply, now clock.Moment) Verdict {
	if r.Signature != "" {
		signed := signedAnswer{xxhash.Sum64String(r.Signature), hashRows(r.Rows)}
		if rows, seen := s.signed.rows(signed.signature); seen {
			if rows != signed.rows {
				return Misplaced
			}
			return Repeated
		}
		if r.Code != stmt.OK || !s.fits(statement, r) {
			return Misplaced
		}
		s.signed.add(signed)
		s.record(r)
		return Own
	}
	if r.Code == stmt.OK {
		if !s.fits(statement, r) {
			return Misplaced
		}
		s.unsignedAt = now
		if r.State != s.state && r.State == stmt.InTransaction {
			s.begunAt = now
		}
		s.record(r)
		return Own
	}
	if !s.mayFailIn(statement, r.State) {
		return Misplaced
	}
	verdict := s.failureVerdict(now)
	s.failedAt = now
	s.record(r)
	return verdict
}

// failureVerdict returns the verdict on a failure that arrives now and fits its statement. It may be a second answer to an earlier failure, or
// the refusal of a statement of the proxy, shifted by a second answer to another one.
func (s *Sequence) failureVerdict(now clock.Moment) Verdict {
	switch sinceFailure := now.Sub(s.failedAt); {
	case s.failedAt != 0 && sinceFailure <= SettlingTime:
		return Unproved
	case s.failedAt != 0 && sinceFailure <= MaxLateness, s.unsignedAt != 0 && now.Sub(s.unsignedAt) <= SettlingTime:
		return Unconfirmed
	default:
		return Own
	}
}

// fits reports whether a successful answer has what the member sends for statements of this kind.
func (s *Sequence) fits(statement stmt.Statement, r stmt.Reply) bool {
	signed, rows, state := false, 0, s.state
	switch statement.Kind {
	case stmt.Read, stmt.Write, stmt.Execute:
		signed, rows = true, len(r.Rows)
	case stmt.Commit:
		signed, rows, state = true, len(r.Rows), stmt.Idle
	case stmt.Begin, stmt.BeginRead:
		state = stmt.InTransaction
	case stmt.Rollback:
		state = stmt.Idle
	case stmt.Status, stmt.StepDown:
		rows = 1
	case stmt.Set, stmt.Prepare, stmt.Deallocate, stmt.Discard:
	}
	return signed == (r.Signature != "") && rows == len(r.Rows) && state == r.State
}

// mayFailIn reports whether the connection can be in the state after the statement has failed.
func (s *Sequence) mayFailIn(statement stmt.Statement, state stmt.State) bool {
	if s.state == stmt.Idle {
		return state != stmt.InTransaction
	}
	return state != stmt.Idle || statement.Kind == stmt.Commit || statement.Kind == stmt.Rollback
}

func (s *Sequence) record(r stmt.Reply) {
	s.answers++
	s.state = r.State
}

// hashRows returns a hash of the rows and their order.
func hashRows(rows []string) uint64 {
	hash := uint64(len(rows))
	for _, r := range rows {
		hash = hash*rowHashFactor + xxhash.Sum64String(r)
	}
	return hash
}

// rowHashFactor is an odd number, which makes the hash depend on the order of the rows.
const rowHashFactor = 0x9e3779b97f4a7c15
