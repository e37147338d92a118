package fakedb_test

import (
	"context"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/require"

	"turmericpulley/io/fakedb"
)

// awaitActive waits until a connection runs a statement.
func awaitActive(t *testing.T, observer, observed *pgx.Conn) {
	t.Helper()
	eventually(t, func() bool {
		return queryText(t, observer, "SELECT state FROM pg_stat_activity WHERE pid = $1", observed.PgConn().PID()) == "active"
	})
}

// With one slot, a second statement waits for the first; a status call does not.
func TestSlotsQueueStatementsButNotStatusCalls(t *testing.T) {
	settings := fastSettings()
	settings.Slots = 1
	m := start(t, settings)
	sleeper, waiter, observer := connect(t, m, "&pulley.customer=desk"), connect(t, m, ""), connect(t, m, "")
	exec(t, waiter, "SET pulley.customer = 'desk'")
	done := make(chan error, 1)
	began := time.Now()
	go func() {
		_, err := sleeper.Exec(background(t), "SELECT pg_sleep(1)")
		done <- err
	}()
	eventually(t, func() bool { return len(m.Peaks()) > 1 })
	exec(t, observer, "SELECT * FROM pulley_status()")
	require.Less(t, time.Since(began), time.Second)
	require.Equal(t, "active", queryText(t, observer, "SELECT state FROM pg_stat_activity WHERE pid = $1", sleeper.PgConn().PID()))
	exec(t, waiter, "SELECT 1")
	require.GreaterOrEqual(t, time.Since(began), time.Second)
	require.NoError(t, <-done)
	require.Contains(t, m.Peaks(), fakedb.Peak{Customer: "desk", Connections: 2, Statements: 2})
	require.Contains(t, m.Peaks(), fakedb.Peak{Customer: "*", Connections: 3, Statements: 2})
	require.Equal(t, "SELECT 2", exec(t, observer, "SELECT * FROM pulley_standin_peaks()"))
}

func TestConnectionLimitAdmitsOneMoreForOwner(t *testing.T) {
	settings := fastSettings()
	settings.Connections = 1
	m := start(t, settings)
	connect(t, m, "")
	_, err := dial(t, m.Address(), "")
	requireSQLState(t, "53300", err)
	connect(t, m, "&pulley.epoch=5")
	_, err = dial(t, m.Address(), "&pulley.epoch=5")
	requireSQLState(t, "53300", err)
}

// A claim ends connections of lower epochs with their open transactions and refuses new ones. Connections without an epoch
// stay.
func TestClaimEndsConnectionsOfLowerEpochs(t *testing.T) {
	m := start(t, fastSettings())
	plain, first := connect(t, m, ""), connect(t, m, "&pulley.epoch=1")
	require.Equal(t, fakedb.Status{}.SinceOwner-1, m.Status().SinceOwner)
	exec(t, first, "SELECT * FROM pulley_claim(1)")
	exec(t, first, "SELECT * FROM pulley_status()")
	exec(t, first, "BEGIN")
	exec(t, first, "INSERT INTO t (key, value) VALUES ('a', '1')")
	second := connect(t, m, "&pulley.epoch=2")
	exec(t, second, "SELECT * FROM pulley_claim(2)")
	exec(t, second, "SELECT * FROM pulley_claim(2)")
	_, err := first.Exec(background(t), "COMMIT")
	requireSQLState(t, "57P01", err)
	require.GreaterOrEqual(t, m.Status().SinceOwner, time.Duration(0))
	execFails(t, second, "55000", "SELECT * FROM pulley_claim(1)")
	_, err = dial(t, m.Address(), "&pulley.epoch=1")
	requireSQLState(t, "57P03", err)
	require.Equal(t, "INSERT 0 1", exec(t, plain, "INSERT INTO t (key, value) VALUES ('a', '1')"))
}

// A statement that waits for a locked row gives up its slot; otherwise the owner of the lock could not commit.
func TestWaitForLockedRowHoldsNoSlot(t *testing.T) {
	for state, timeout := range map[string]time.Duration{"55P03": 50 * time.Millisecond, "23505": testTimeout} {
		settings := fastSettings()
		settings.Slots, settings.LockTimeout = 1, timeout
		m := start(t, settings)
		lockOwner, waiter := connect(t, m, ""), connect(t, m, "")
		exec(t, lockOwner, "BEGIN")
		exec(t, lockOwner, "INSERT INTO t (key, value) VALUES ('a', '1')")
		done := make(chan error, 1)
		go func() {
			_, err := waiter.Exec(background(t), "INSERT INTO t (key, value) VALUES ('a', '2')")
			done <- err
		}()
		if state == "55P03" {
			requireSQLState(t, state, <-done)
		} else {
			awaitActive(t, lockOwner, waiter)
		}
		exec(t, lockOwner, "SELECT count(*) FROM t")
		exec(t, lockOwner, "COMMIT")
		if state == "23505" {
			requireSQLState(t, state, <-done)
		}
		require.Equal(t, map[string]string{"a": "1"}, m.Rows("t"))
	}
}

func TestCancelEndsStatementAndTerminateEndsConnection(t *testing.T) {
	m := start(t, fastSettings())
	c, other := connect(t, m, ""), connect(t, m, "")
	done := make(chan error, 1)
	go func() {
		_, err := c.Exec(background(t), "SELECT pg_sleep(60)")
		done <- err
	}()
	awaitActive(t, other, c)
	require.NoError(t, c.PgConn().CancelRequest(background(t)))
	requireSQLState(t, "57014", <-done)
	exec(t, c, "SELECT 1")
	exec(t, other, "SELECT pg_terminate_backend($1)", c.PgConn().PID())
	_, err := c.Exec(background(t), "SELECT 1")
	requireSQLState(t, "57P01", err)
}

func TestDiscardAllDropsSessionState(t *testing.T) {
	m := start(t, fastSettings())
	c, other := connect(t, m, ""), connect(t, m, "")
	simple := func(query string) ([]*pgconn.Result, error) {
		return c.PgConn().Exec(background(t), query).ReadAll()
	}
	results, err := simple("CREATE TEMP TABLE w (key text primary key, value text); INSERT INTO w (key, value) VALUES ('a', 'b');" +
		"PREPARE p AS SELECT value FROM w WHERE key = $1; EXECUTE p('a'); SELECT pg_advisory_lock(4); SET a.b TO 'c'; SHOW a.b")
	require.NoError(t, err)
	require.Equal(t, "b", string(results[3].Rows[0][0]))
	require.Equal(t, "c", string(results[6].Rows[0][0]))
	require.Zero(t, m.Status().Position)
	blocked := make(chan error, 1)
	go func() {
		_, err := other.Exec(background(t), "SELECT pg_advisory_lock(4)")
		blocked <- err
	}()
	exec(t, c, "DISCARD ALL")
	require.NoError(t, <-blocked)
	for _, query := range []string{"EXECUTE p('a')", "SHOW a.b"} {
		_, err = simple(query)
		require.Error(t, err, query)
	}
	require.Equal(t, "SELECT 0", exec(t, c, "SELECT key, value FROM w"))

	_, err = simple("INSERT INTO t (key, value) VALUES ('a', '1'); INSERT INTO t (key, value) VALUES ('a', '1')")
	requireSQLState(t, "23505", err)
	require.Empty(t, m.Rows("t"), "statements of one text are one transaction")
	_, err = simple("BEGIN; SET LOCAL a.b = 'x'; INSERT INTO t (key, value) VALUES ('p1', '1'); INSERT INTO t (key, value) VALUES ('p2', '2'); COMMIT")
	require.NoError(t, err)
	require.EqualValues(t, 1, m.Status().Position, "a commit is one log entry")
	require.Equal(t, "SELECT 2", exec(t, c, "SELECT key, value FROM t WHERE key LIKE 'p%'"))
	_, err = simple("SHOW a.b")
	requireSQLState(t, "42704", err)
}

// A portal is suspended after the requested number of rows. After an error, the messages up to the next Sync are skipped.
func TestPipelineSuspendsPortalAndSkipsAfterError(t *testing.T) {
	m := start(t, fastSettings())
	frontend := connect(t, m, "").PgConn().Frontend()
	for _, message := range []pgproto3.FrontendMessage{
		&pgproto3.Parse{Name: "s", Query: "SELECT generate_series(1, 3)"},
		&pgproto3.Bind{DestinationPortal: "p", PreparedStatement: "s", ResultFormatCodes: []int16{1}},
		&pgproto3.Execute{Portal: "p", MaxRows: 2},
		&pgproto3.Execute{Portal: "p"},
		&pgproto3.Execute{Portal: "none"},
		&pgproto3.Execute{Portal: "p"},
		&pgproto3.Sync{},
	} {
		frontend.Send(message)
	}
	require.NoError(t, frontend.Flush())
	var kinds []string
	for {
		message, err := frontend.Receive()
		require.NoError(t, err)
		switch message := message.(type) {
		case *pgproto3.DataRow:
			require.Len(t, message.Values[0], 8)
			kinds = append(kinds, "row")
		case *pgproto3.PortalSuspended:
			kinds = append(kinds, "suspended")
		case *pgproto3.CommandComplete:
			kinds = append(kinds, string(message.CommandTag))
		case *pgproto3.ErrorResponse:
			kinds = append(kinds, message.Code)
		case *pgproto3.ReadyForQuery:
			require.Equal(t, []string{"row", "row", "suspended", "row", "SELECT 3", "34000"}, kinds)
			return
		}
	}
}

func TestLeaveServesForGracePeriod(t *testing.T) {
	m := start(t, fastSettings())
	c, other := connect(t, m, ""), connect(t, m, "")
	watched := make(chan error, 1)
	go func() {
		_, err := c.Exec(background(t), "SELECT * FROM pulley_watch(0, 60000)")
		watched <- err
	}()
	awaitActive(t, other, c)
	left := make(chan error, 1)
	go func() { left <- m.Leave(time.Second) }()
	require.NoError(t, <-watched)
	require.True(t, m.Status().Leaving)
	exec(t, c, "INSERT INTO t (key, value) VALUES ('a', '1')")
	require.NoError(t, <-left)
	_, err := c.Exec(context.Background(), "SELECT 1")
	requireSQLState(t, "57P01", err)
}
