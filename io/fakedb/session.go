package fakedb

import (
	"crypto/rand"
	"net"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"turmericpulley/core/types"
	"turmericpulley/io/fakedb/syntax"
)

// secretSize is the length in bytes of the secret key that a cancel request has to contain.
const secretSize = 4

// processID is the process number of a connection, in the place of the process ID of a PostgreSQL backend.
type processID uint32

var errCancelled = fail(stateQueryCanceled, "canceling statement due to user request")

// session is one connection of a caller or an owner.
type session struct {
	m       *Member
	conn    net.Conn
	backend *pgproto3.Backend
	process processID
	secret  []byte
	epoch   types.Epoch
	// fromOwner is true when the start-up message had an epoch.
	fromOwner bool

	// done is closed by terminate.
	done chan struct{}
	// cancelled holds at most one cancel request.
	cancelled chan struct{}

	// The member's lock guards the next fields.
	// endErr is the error that terminate was called with.
	endErr error
	tx     *transaction
	// ranStatement is true after the first statement that is not a control statement.
	ranStatement bool
	running      bool
	// advisory holds the numbers of the advisory locks that the session owns.
	advisory map[int64]struct{}
	// countedFor is the customer for which the connection is counted, when counted is true.
	countedFor types.AccountID
	counted    bool

	// Only the session's own goroutine uses the next fields.
	settings       settingSet
	temporary      tables
	prepared       map[string]*prepared
	portals        map[string]*portal
	skippingToSync bool
	// slotLost is true when the running statement could not get its slot back after a wait for a lock.
	slotLost bool
	// positionSent is true after the first position was sent to the caller.
	positionSent     bool
	lastSentPosition types.Position
}

// prepared is a prepared statement with the types of its parameters.
type prepared struct {
	statement  syntax.Statement
	parameters []typeID
}

func newSession(m *Member, conn net.Conn, backend *pgproto3.Backend, startup map[string]string) *session {
	secret := make([]byte, secretSize)
	_, _ = rand.Read(secret)
	return &session{
		m:         m,
		conn:      conn,
		backend:   backend,
		secret:    secret,
		done:      make(chan struct{}),
		cancelled: make(chan struct{}, 1),
		advisory:  map[int64]struct{}{},
		settings:  newSettingSet(startup),
		temporary: tables{},
		prepared:  map[string]*prepared{},
		portals:   map[string]*portal{},
	}
}

// terminate ends the session with an error and rolls back its transaction. The read deadline wakes the session's goroutine,
// which sends the error. The caller holds the member's lock.
func (s *session) terminate(reason error) {
	if s.endErr != nil {
		return
	}
	s.endErr = reason
	s.abort()
	close(s.done)
	_ = s.conn.SetReadDeadline(time.Now())
	_ = s.conn.SetWriteDeadline(time.Now().Add(finalWriteTimeout))
}

// endReason returns why the session was terminated, nil when it was not.
func (s *session) endReason() error {
	s.m.mu.Lock()
	defer s.m.mu.Unlock()
	return s.endErr
}

// cancel interrupts the running statement.
func (s *session) cancel() {
	select {
	case s.cancelled <- struct{}{}:
	default:
	}
}

// clearCancel drops a cancel request that arrived while no statement ran.
func (s *session) clearCancel() {
	select {
	case <-s.cancelled:
	default:
	}
}

// pause waits for a duration; it returns an error when the session is terminated or cancelled meanwhile.
func (s *session) pause(duration time.Duration) error {
	if duration <= 0 {
		return nil
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	return s.await(timer.C, nil)
}

// await waits for the timer or for wake; it returns an error when the session is terminated or cancelled meanwhile.
func (s *session) await(timer <-chan time.Time, wake <-chan struct{}) error {
	select {
	case <-timer:
		return nil
	case <-wake:
		return nil
	case <-s.done:
		return s.endReason()
	case <-s.cancelled:
		return errCancelled
	}
}

// customer returns the customer that the connection currently serves.
func (s *session) customer() types.AccountID {
	return types.AccountID(s.settings.get(customerSetting))
}

// state returns the state column of pg_stat_activity; the caller holds the member's lock.
func (s *session) state() string {
	switch {
	case s.running:
		return "active"
	case s.tx != nil && s.tx.explicit:
		return "idle in transaction"
	default:
		return "idle"
	}
}
