package load

import (
	"fmt"
	"math/rand/v2"
	"sync"

	"turmericpulley/core/audit"
	"turmericpulley/core/types"
)

// maxOwnRows bounds how many of its own rows a session chooses from.
const maxOwnRows = 64

// session is the state that the callers of one session share.
type session struct {
	name     types.SessionName
	run      runID
	database types.DatabaseID
	workload Workload
	// counters is the number of stock or till rows in the database.
	counters int
	own      int

	mutex sync.Mutex
	next  int
	rows  []*ownRow
}

// ownRow is a row that the session inserted.
type ownRow struct {
	id      string
	version audit.Value
	busy    bool
}

// newRequest draws a request; writes says whether it changes rows.
func (s *session) newRequest(random *rand.Rand, writes bool) request {
	if s.workload == Kiosk {
		return s.newKioskRequest(random, writes)
	}
	return s.newOrdersRequest(random, writes)
}

// newInsert returns the insert of a new row and remembers the row once it is acknowledged.
func (s *session) newInsert(class Class, t table) request {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.next++
	row := &ownRow{id: fmt.Sprintf("%s-%s-%d", s.run, s.name, s.next), version: 1}
	return request{
		class: class,
		steps: []step{{table: t, id: row.id, kind: audit.Insert, value: row.version}},
		finished: func(outcome audit.Outcome) {
			if outcome == audit.Acknowledged {
				s.keep(row)
			}
		},
	}
}

// keep adds a row to those that the session works on and forgets the oldest beyond the bound.
func (s *session) keep(row *ownRow) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.rows = append(s.rows, row)
	if len(s.rows) > maxOwnRows {
		s.rows = s.rows[1:]
	}
}

// reserve returns an own row that nobody is writing, with its next version; nil when there is none.
func (s *session) reserve(random *rand.Rand) *ownRow {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.rows) == 0 {
		return nil
	}
	row := s.rows[random.IntN(len(s.rows))]
	if row.busy {
		return nil
	}
	row.busy = true
	row.version++
	return row
}

// release ends the reservation; after an unknown outcome the row stays reserved, because the write may still come.
func (s *session) release(row *ownRow, outcome audit.Outcome) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	row.busy = outcome == audit.Unknown
}

// ownID returns the id of an own row, or an empty one when there is none.
func (s *session) ownID(random *rand.Rand) string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.rows) == 0 {
		return ""
	}
	return s.rows[random.IntN(len(s.rows))].id
}
