package load

import (
	"fmt"
	"math/rand/v2"
	"sync"

	"turmericpulley/core/audit"
	"turmericpulley/core/types"
)

// maxInsertedRows bounds how many of its inserted rows a session updates and reads; these are the latest ones.
const maxInsertedRows = 64

// session is the state that the callers of one session share.
type session struct {
	name     types.SessionName
	run      runID
	database types.DatabaseID
	workload Workload
	// counterCount is the number of stock or till rows of the run in each database.
	counterCount int
	// ownCounter is the index of the session's own till row.
	ownCounter int

	mutex         sync.Mutex
	lastRowNumber int
	insertedRows  []*insertedRow
}

// insertedRow is a row that the session inserted.
type insertedRow struct {
	id       string
	version  audit.Value
	reserved bool
}

// newRequest returns a random request; isWrite says whether it changes rows.
func (s *session) newRequest(random *rand.Rand, isWrite bool) request {
	if s.workload == Kiosk {
		return s.newKioskRequest(random, isWrite)
	}
	return s.newOrdersRequest(random, isWrite)
}

// newInsert returns a request that inserts a new row; the row joins insertedRows once the insert is acknowledged.
func (s *session) newInsert(class Class, t table) request {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.lastRowNumber++
	row := &insertedRow{id: fmt.Sprintf("%s-%s-%d", s.run, s.name, s.lastRowNumber), version: 1}
	return request{
		class: class,
		steps: []step{{table: t, id: row.id, kind: audit.Insert, value: row.version}},
		onFinished: func(outcome audit.Outcome) {
			if outcome == audit.Acknowledged {
				s.addRow(row)
			}
		},
	}
}

// addRow adds a row to insertedRows and removes the oldest if there are more than maxInsertedRows.
func (s *session) addRow(row *insertedRow) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.insertedRows = append(s.insertedRows, row)
	if len(s.insertedRows) > maxInsertedRows {
		s.insertedRows = s.insertedRows[1:]
	}
}

// reserveRow chooses one of insertedRows at random, reserves it for a write and raises its version. It returns nil if
// there are no rows or the chosen one is reserved already.
func (s *session) reserveRow(random *rand.Rand) *insertedRow {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.insertedRows) == 0 {
		return nil
	}
	row := s.insertedRows[random.IntN(len(s.insertedRows))]
	if row.reserved {
		return nil
	}
	row.reserved = true
	row.version++
	return row
}

// releaseRow ends the reservation. After an unknown outcome the row stays reserved, because the write may still take
// effect.
func (s *session) releaseRow(row *insertedRow, outcome audit.Outcome) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	row.reserved = outcome == audit.Unknown
}

// randomRowID returns the id of one of insertedRows, chosen at random, or an empty string if there are none.
func (s *session) randomRowID(random *rand.Rand) string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.insertedRows) == 0 {
		return ""
	}
	return s.insertedRows[random.IntN(len(s.insertedRows))].id
}
