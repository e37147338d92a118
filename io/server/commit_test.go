package server_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/stretchr/testify/require"

	"turmericpulley/core/policy"
	"turmericpulley/core/types"
	"turmericpulley/io/fakedb"
)

const sqlStateOutcomeUnknown = "08007"

func requireSQLState(t *testing.T, err error, state string) {
	t.Helper()
	var pgErr *pgconn.PgError
	require.True(t, errors.As(err, &pgErr), "%v", err)
	require.Equal(t, state, pgErr.Code, "%v", err)
}

// neverReplicated delays replication so that no write reaches a majority during a test.
func neverReplicated(s *fakedb.Settings) { s.ReceiveLag = time.Hour }

// requireMajority checks that a majority holds a write if it was acknowledged after the first member was replaced.
func (f *fleet) requireMajority(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		return
	}
	committed := false
	for _, m := range f.members[1:] {
		s := m.Status()
		committed = committed || (s.Role == fakedb.Primary && s.Committed >= 2)
	}
	require.True(t, committed, "a write was acknowledged without a majority")
}

// TestCommitWithoutMajorityHasUnknownOutcome commits in several ways on a primary whose replicas receive nothing. It guards
// against acknowledged writes that a failover would lose.
func TestCommitWithoutMajorityHasUnknownOutcome(t *testing.T) {
	for name, sql := range map[string]string{
		"autocommit":           "INSERT INTO orders (key, value) VALUES ('k', 'x')",
		"block":                "BEGIN; INSERT INTO orders (key, value) VALUES ('k', 'x'); COMMIT",
		"block and next block": "BEGIN; INSERT INTO orders (key, value) VALUES ('k', 'x'); COMMIT; BEGIN",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := startFleet(t, 1, neverReplicated)
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			c := f.connect(t, 0, "desk-1")
			f.waitForOwner(t)
			_, err := c.Exec(ctx, sql, pgx.QueryExecModeSimpleProtocol)
			requireSQLState(t, err, sqlStateOutcomeUnknown)
		})
	}
}

// TestFlushedCommitWithoutMajorityHasUnknownOutcome commits a block in the middle of a pipeline and asks for the answers so far with a
// flush, on a primary whose replicas receive nothing. The answer to the commit must not arrive before a majority holds it.
func TestFlushedCommitWithoutMajorityHasUnknownOutcome(t *testing.T) {
	f := startFleet(t, 1, neverReplicated)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	c := f.connect(t, 0, "desk-1")
	f.waitForOwner(t)
	pipeline := c.PgConn().StartPipeline(ctx)
	for _, sql := range []string{"BEGIN", "INSERT INTO orders (key, value) VALUES ('k', 'x')", "COMMIT"} {
		pipeline.SendQueryParams(sql, nil, nil, nil, nil)
	}
	pipeline.SendFlushRequest()
	require.NoError(t, pipeline.Flush())
	var tags []string
	var failure error
	for range 3 {
		result, err := pipeline.GetResults()
		if err == nil {
			read := result.(*pgconn.ResultReader).Read()
			tags, err = append(tags, read.CommandTag.String()), read.Err
		}
		if failure = err; failure != nil {
			break
		}
	}
	require.NotContains(t, tags, "COMMIT")
	requireSQLState(t, failure, sqlStateOutcomeUnknown)
	_ = pipeline.Close()
}

// TestRepeatedRequestOfUnconfirmedRunHasUnknownOutcome repeats a transaction block with a request key while no majority
// holds its first run. The record of the first run must not be used as an answer before it is confirmed.
func TestRepeatedRequestOfUnconfirmedRunHasUnknownOutcome(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 1, neverReplicated)
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	f.connect(t, 0, "probe")
	f.waitForOwner(t)
	first, second := f.connect(t, 0, "desk-1"), f.connect(t, 0, "desk-1")
	run := func(c *pgx.Conn) error {
		for _, sql := range []string{
			"SET pulley.request_key = 'k1'", "BEGIN", "INSERT INTO orders (key, value) VALUES ('k', 'x')", "COMMIT",
		} {
			if _, err := c.Exec(ctx, sql, pgx.QueryExecModeSimpleProtocol); err != nil {
				return err
			}
		}
		return nil
	}
	answers := make(chan error, 1)
	go func() { answers <- run(first) }()
	require.Eventually(t, func() bool { return f.members[0].Rows("orders")["k"] == "x" }, 5*time.Second, 5*time.Millisecond)
	requireSQLState(t, run(second), sqlStateOutcomeUnknown)
	requireSQLState(t, <-answers, sqlStateOutcomeUnknown)
}

// TestWriteQueuedForReplicaNeedsMajorityAfterItsPromotion lets writes wait for connections to busy replicas while the primary
// is killed. A write that then runs on a promoted replica is acknowledged only when a majority holds it.
func TestWriteQueuedForReplicaNeedsMajorityAfterItsPromotion(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 1, func(s *fakedb.Settings) {
		s.ReceiveLag = 5 * time.Second
		s.StatementTime = 1200 * time.Millisecond
		s.Connections = 15
		s.Slots = 1
	})
	f.connect(t, 0, "probe")
	f.waitForOwner(t)
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	readsDone := make(chan struct{}, 2)
	for _, name := range []string{"a", "b"} {
		c := f.connect(t, 0, name)
		go func() {
			_, _ = c.Exec(ctx, "SELECT count(*) FROM orders")
			readsDone <- struct{}{}
		}()
		time.Sleep(50 * time.Millisecond)
	}
	answers := make(chan error, 2)
	for _, key := range []string{"k1", "k2"} {
		c := f.connect(t, 0, key)
		go func() {
			_, err := c.Exec(ctx, "INSERT INTO orders (key, value) VALUES ('"+key+"', 'x')")
			answers <- err
		}()
	}
	time.Sleep(100 * time.Millisecond)
	require.NoError(t, f.members[0].Close())
	f.requireMajority(t, <-answers)
	f.requireMajority(t, <-answers)
	<-readsDone
	<-readsDone
}

// TestSessionLockOnIdleConnectionIsReleased takes a session lock on a connection that stays idle afterwards. Another session
// gets the lock within a second, because the pool resets idle connections.
func TestSessionLockOnIdleConnectionIsReleased(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 1, nil)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	a1, a2, b := f.connect(t, 0, "a"), f.connect(t, 0, "a"), f.connect(t, 0, "b")
	f.waitForOwner(t)
	exec := func(c *pgx.Conn, sql string) {
		t.Helper()
		_, err := c.Exec(ctx, sql, pgx.QueryExecModeSimpleProtocol)
		require.NoError(t, err, sql)
	}
	exec(a1, "BEGIN")
	exec(a2, "BEGIN")
	exec(a1, "SELECT pg_advisory_lock(7)")
	exec(a1, "COMMIT")
	exec(a2, "COMMIT")
	exec(b, "BEGIN")
	startedAt := time.Now()
	exec(b, "SELECT pg_advisory_lock(7)")
	require.Less(t, time.Since(startedAt), time.Second)
}

// TestRequestEndsWhenItsPrimaryIsReplaced cuts the primary off without closing its connections while a request runs there.
// The request ends once another primary is in use, long before its own timeout.
func TestRequestEndsWhenItsPrimaryIsReplaced(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 1, nil)
	f.putContract(t, policy.Contract{
		Customer: testCustomer, Groups: []types.GroupID{"orders-db"}, Connections: 6,
		StatementTimeout: policy.Duration(time.Minute),
	})
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	c := f.connect(t, 0, "desk-1")
	f.waitForOwner(t)
	answers := make(chan error, 1)
	f.members[0].SetStatementTime(time.Minute)
	go func() {
		_, err := c.Exec(ctx, "INSERT INTO orders (key, value) VALUES ('k', 'x')")
		answers <- err
	}()
	time.Sleep(200 * time.Millisecond)
	f.links[0].CutBoth()
	startedAt := time.Now()
	requireSQLState(t, <-answers, sqlStateOutcomeUnknown)
	require.Less(t, time.Since(startedAt), 4*time.Second)
	require.Equal(t, f.members[1].Status().Target, f.report(t).Primary)
}

// TestBatchOnReplicaPromotedMeanwhileNeedsMajority runs a batch with a read-write transaction on a replica while the primary
// is killed. The batch is not acknowledged unless a majority holds its write.
func TestBatchOnReplicaPromotedMeanwhileNeedsMajority(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 1, func(s *fakedb.Settings) {
		s.ReceiveLag = 5 * time.Second
		s.StatementTime = 600 * time.Millisecond
	})
	f.connect(t, 0, "probe")
	f.waitForOwner(t)
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	answers := make(chan error, 2)
	for _, key := range []string{"k1", "k2"} {
		c := f.connect(t, 0, key)
		go func() {
			sql := "SELECT count(*) FROM orders; BEGIN READ WRITE; INSERT INTO orders (key, value) VALUES ('" + key + "', 'x'); COMMIT"
			_, err := c.Exec(ctx, sql, pgx.QueryExecModeSimpleProtocol)
			answers <- err
		}()
	}
	time.Sleep(300 * time.Millisecond)
	require.NoError(t, f.members[0].Close())
	f.requireMajority(t, <-answers)
	f.requireMajority(t, <-answers)
}
