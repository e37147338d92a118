package fakedb_test

import (
	"context"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"turmericpulley/core/tests"
	"turmericpulley/io/fakedb"
)

const testTimeout = 10 * time.Second

func TestMain(m *testing.M) {
	tests.SetRapidDefaults(tests.DefaultChecks)
	goleak.VerifyTestMain(m)
}

// fastSettings returns the default settings with ConnectCost and StatementTime 0.
func fastSettings() fakedb.Settings {
	settings := fakedb.Defaults()
	settings.ConnectCost, settings.StatementTime = 0, 0
	return settings
}

func start(t *testing.T, settings fakedb.Settings) *fakedb.Member {
	t.Helper()
	m, err := fakedb.Start(settings)
	require.NoError(t, err)
	t.Cleanup(func() { _ = m.Close() })
	return m
}

func background(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}

func dial(t *testing.T, address, options string) (*pgx.Conn, error) {
	t.Helper()
	c, err := pgx.Connect(background(t), "postgres://desk@"+address+"/orders?sslmode=prefer"+options)
	if err == nil {
		t.Cleanup(func() { _ = c.Close(context.Background()) })
	}
	return c, err
}

func connect(t *testing.T, m *fakedb.Member, options string) *pgx.Conn {
	t.Helper()
	c, err := dial(t, m.Address(), options)
	require.NoError(t, err)
	return c
}

func exec(t *testing.T, c *pgx.Conn, query string, arguments ...any) string {
	t.Helper()
	tag, err := c.Exec(background(t), query, arguments...)
	require.NoError(t, err, query)
	return tag.String()
}

func execFails(t *testing.T, c *pgx.Conn, state, query string, arguments ...any) {
	t.Helper()
	_, err := c.Exec(background(t), query, arguments...)
	requireSQLState(t, state, err)
}

func requireSQLState(t *testing.T, state string, err error) {
	t.Helper()
	var refused *pgconn.PgError
	require.ErrorAs(t, err, &refused)
	require.Equal(t, state, refused.Code, refused.Message)
}

func queryText(t *testing.T, c *pgx.Conn, query string, arguments ...any) string {
	t.Helper()
	var value string
	require.NoError(t, c.QueryRow(background(t), query, arguments...).Scan(&value), query)
	return value
}

// Every execution mode of the driver has to give the same results.
func TestStatementsGiveSameResultsInEveryDriverMode(t *testing.T) {
	m := start(t, fastSettings())
	for _, mode := range []string{"cache_statement", "cache_describe", "describe_exec", "exec", "simple_protocol"} {
		t.Run(mode, func(t *testing.T) {
			c := connect(t, m, "&default_query_exec_mode="+mode)
			table := "t_" + mode
			require.Equal(t, "INSERT 0 1", exec(t, c, "/* it's */ INSERT INTO "+table+" (key, value) VALUES ($1, $2)", "a", "it's"))
			require.Equal(t, "it's", queryText(t, c, "SELECT value FROM "+table+" WHERE key = $1", "a"))
			execFails(t, c, "23505", "INSERT INTO "+table+" (key, value) VALUES ($1, $2)", "a", "2")
			exec(t, c, "INSERT INTO "+table+" (key, value) VALUES ('a', '5') ON CONFLICT (key) DO UPDATE SET value = EXCLUDED.value")
			require.Equal(t, "7", queryText(t, c, "UPDATE "+table+" SET value = value + 2 WHERE key = 'a' RETURNING value"))
			require.Equal(t, "UPDATE 1", exec(t, c, "UPDATE "+table+" SET value = value + $1 WHERE key = $2", 3, "a"))
			require.Equal(t, "UPDATE 0", exec(t, c, "UPDATE "+table+" SET value = 'x' WHERE key = 'none'"))
			var count, constant int64
			require.NoError(t, c.QueryRow(background(t), "SELECT count(*) FROM "+table).Scan(&count))
			require.NoError(t, c.QueryRow(background(t), "SELECT 42").Scan(&constant))
			require.Equal(t, []int64{1, 42}, []int64{count, constant})
			rows, err := c.Query(background(t), "SELECT generate_series(1, 500)")
			require.NoError(t, err)
			numbers, err := pgx.CollectRows(rows, pgx.RowTo[int64])
			require.NoError(t, err)
			require.Len(t, numbers, 500)
			require.Equal(t, "DELETE 1", exec(t, c, "DELETE FROM "+table+" WHERE key = $1", "a"))
			execFails(t, c, "42601", "SELEC 1")
			require.Equal(t, "SELECT 1", exec(t, c, "SELECT pg_sleep(0.001)"))
		})
	}
}

func TestTransactionCommitsWritesAndRefusesThemWhenReadOnly(t *testing.T) {
	m := start(t, fastSettings())
	c := connect(t, m, "")
	tx, err := c.BeginTx(background(t), pgx.TxOptions{IsoLevel: pgx.ReadCommitted, AccessMode: pgx.ReadWrite})
	require.NoError(t, err)
	exec(t, c, "INSERT INTO t (key, value) VALUES ($1, $2)", "a", "1")
	require.NoError(t, tx.Commit(background(t)))
	require.Equal(t, "1", queryText(t, c, "SELECT value FROM t WHERE key = $1", "a"))
	tx, err = c.BeginTx(background(t), pgx.TxOptions{AccessMode: pgx.ReadOnly})
	require.NoError(t, err)
	execFails(t, c, "25006", "DELETE FROM t WHERE key = 'a'")
	execFails(t, c, "25P02", "SELECT 1")
	require.Equal(t, byte('E'), c.PgConn().TxStatus())
	require.NoError(t, tx.Rollback(background(t)))
	require.Equal(t, byte('I'), c.PgConn().TxStatus())
}
