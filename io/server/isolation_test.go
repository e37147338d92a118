package server_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/stretchr/testify/require"
)

// TestSharedConnectionIsResetBetweenSessions leaves settings, temporary tables, locks, prepared statements and an open
// transaction of one session on a connection. The next session on the connection must not get any of them.
func TestSharedConnectionIsResetBetweenSessions(t *testing.T) {
	f := startFleet(t, 1, nil)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	first := f.connect(t, 0, "desk-1")
	second := f.connect(t, 0, "desk-2")
	exec := func(c *pgx.Conn, sql string) {
		t.Helper()
		_, err := c.Exec(ctx, sql, pgx.QueryExecModeSimpleProtocol)
		require.NoError(t, err, sql)
	}
	onPrimary := func(c *pgx.Conn, sql string) (text string, err error) {
		exec(c, "BEGIN")
		defer exec(c, "ROLLBACK")
		err = c.QueryRow(ctx, sql, pgx.QueryExecModeSimpleProtocol).Scan(&text)
		return text, err
	}
	exec(first, "BEGIN; SET work_mem = '1GB'; CREATE TEMP TABLE scratch (key text, value text); SELECT pg_advisory_lock(7); COMMIT")
	exec(first, "BEGIN; PREPARE leftover AS SELECT 1; COMMIT")
	value, err := onPrimary(second, "SHOW work_mem")
	if err == nil {
		require.NotEqual(t, "1GB", value, "a setting was left behind")
	}
	exec(second, "BEGIN; SELECT pg_advisory_lock(7); COMMIT")
	_, err = onPrimary(second, "EXECUTE leftover")
	require.Error(t, err, "a prepared statement was left behind")

	exec(first, "BEGIN")
	exec(first, "INSERT INTO orders (key, value) VALUES ('open', 'x')")
	require.NoError(t, first.Close(ctx))
	var found string
	err = second.QueryRow(ctx, "SELECT value FROM orders WHERE key = 'open'").Scan(&found)
	require.ErrorIs(t, err, pgx.ErrNoRows, "an open transaction of a caller that left was committed")
	exec(second, "INSERT INTO orders (key, value) VALUES ('open', 'second')")
}

// sqlStateUniqueViolation is the SQLSTATE of an insert whose key exists already.
const sqlStateUniqueViolation = "23505"

// TestOpenBlocksRollBackWhenOwnerIsKilled closes the owner's instance while transaction blocks are open on its connections to
// the members. Their writes must not be visible, and their rows must not stay locked.
func TestOpenBlocksRollBackWhenOwnerIsKilled(t *testing.T) {
	f := startFleet(t, 3, nil)
	f.connect(t, 0, "probe")
	f.waitForOwner(t)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	owner := f.owner(t)
	for i := range 4 {
		c := f.connect(t, i%3, fmt.Sprintf("desk-%d", i))
		_, err := c.Exec(ctx, "BEGIN")
		require.NoError(t, err)
		_, err = c.Exec(ctx, fmt.Sprintf("INSERT INTO orders (key, value) VALUES ('open%d', 'x')", i))
		require.NoError(t, err)
	}
	owner.Close()
	survivor := 0
	for i, s := range f.servers {
		if s != owner {
			survivor = i
		}
	}
	c := f.connect(t, survivor, "desk-9")
	for i := range 4 {
		// A write with an unknown outcome has run if and only if the next one finds its key taken.
		unknown := false
		require.EventuallyWithT(t, func(collect *assertT) {
			_, err := c.Exec(ctx, fmt.Sprintf("INSERT INTO orders (key, value) VALUES ('open%d', 'mine')", i))
			var refused *pgconn.PgError
			if unknown && errors.As(err, &refused) && refused.Code == sqlStateUniqueViolation {
				return
			}
			unknown = unknown || errors.As(err, &refused) && refused.Code == sqlStateOutcomeUnknown
			require.NoError(collect, err)
		}, 5*time.Second, 50*time.Millisecond)
	}
	for i := range 4 {
		var value string
		require.NoError(t, c.QueryRow(ctx, fmt.Sprintf("SELECT value FROM orders WHERE key = 'open%d'", i)).Scan(&value))
		require.Equal(t, "mine", value)
	}
}
