package pgsrv_test

import (
	"context"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/stretchr/testify/require"

	"turmericpulley/core/fault"
	"turmericpulley/core/policy"
	"turmericpulley/core/types"
	"turmericpulley/io/pgsrv"
)

func TestStartUpIsRefused(t *testing.T) {
	b := newHarness(t)
	for _, c := range []struct{ user, database, more, state string }{
		{"stranger", "orders-1", "", "28000"},
		{"desk", "nowhere", "", "3D000"},
		{"desk", "orders-1", "pulley.max_read_age=old", "22023"},
		{"desk", "orders-1", "pulley.colour=red", "22023"},
		{"desk", "orders-1", "client_encoding=LATIN1", "22023"},
		{"desk", "orders-1", "options=-x", "22023"},
	} {
		_, err := pgx.Connect(b.context(), b.url(c.user, c.database, c.more))
		requireSQLState(t, c.state, err)
	}
	b.update(func(b *harness) { b.groups = nil })
	_, err := pgx.Connect(b.context(), b.url("desk", "orders-1", ""))
	requireSQLState(t, "28000", err)
	require.Empty(t, b.ownerLog.snapshot().begins)
}

func TestRefusedTransactionsAreAnswered(t *testing.T) {
	b := newHarness(t)
	conn := b.connect("")
	exec := func() error {
		_, err := conn.Exec(b.context(), "INSERT $1", pgx.QueryExecModeExec, "x")
		return err
	}
	b.update(func(b *harness) { b.freshError = fault.New(fault.Isolated, "no word from the store") })
	require.Contains(t, requireSQLState(t, "57P03", exec()), "not run: no word from the store")
	b.update(func(b *harness) { b.freshError, b.openError = nil, fault.New(fault.QueueFull, "100 wait") })
	requireSQLState(t, "53300", exec())
	b.update(func(b *harness) { b.openError = context.DeadlineExceeded })
	requireSQLState(t, "57P03", exec())
	b.update(func(b *harness) { b.openError, b.groups = nil, nil })
	requireSQLState(t, "28000", exec())
	require.Empty(t, b.ownerLog.snapshot().begins)
	b.update(func(b *harness) { b.groups = []types.GroupID{"orders-db"} })
	require.NoError(t, exec())
	require.Equal(t, map[fault.Kind]uint64{
		fault.Isolated: 1, fault.QueueFull: 1, fault.NoOwner: 1, fault.GroupForbidden: 1,
	}, b.server.Counters().Refusals.Snapshot())
	require.Eventually(t, func() bool { return len(b.reportsSoFar()) == 5 }, testTimeout, time.Millisecond)
}

func TestOwnersFailures(t *testing.T) {
	for _, c := range []struct {
		text, state string
		unknown     uint64
	}{
		{"REFUSE noPrimary", "57P03", 0},
		{"REFUSE rateExceeded", "53400", 0},
		{"REFUSE alreadyRun", "23505", 0},
		{"REFUSE outcomeUnknown", "08007", 1},
		{"BREAK", "08007", 1},
		{"HALF", "08007", 1},
		{"TORN", "08007", 1},
		{"CROSS", "08007", 1},
		{"COPY orders FROM STDIN", "0A000", 0},
	} {
		for _, mode := range []pgx.QueryExecMode{pgx.QueryExecModeSimpleProtocol, pgx.QueryExecModeExec} {
			t.Run(c.text+" "+mode.String(), func(t *testing.T) {
				b := newHarness(t)
				conn := b.connect("")
				rows, _ := conn.Query(b.context(), c.text, mode)
				rows.Close()
				requireSQLState(t, c.state, rows.Err())
				require.EqualValues(t, 'I', conn.PgConn().TxStatus())
				_, err := conn.Exec(b.context(), "INSERT again")
				require.NoError(t, err)
				require.Equal(t, c.unknown, b.server.Counters().UnknownOutcomes.Load())
				require.Eventually(t, func() bool { return len(b.reportsSoFar()) == 2 }, testTimeout, time.Millisecond)
			})
		}
	}
}

func TestRefusalMayLeaveTheOutcomeUnknown(t *testing.T) {
	b := newHarness(t)
	_, err := b.connect("").Exec(b.context(), "REFUSE? statementTimeout")
	require.Contains(t, requireSQLState(t, "57014", err), "outcome unknown")
	require.EqualValues(t, 1, b.server.Counters().UnknownOutcomes.Load())
	var failure *pgconn.PgError
	require.ErrorAs(t, err, &failure)
	require.Equal(t, "request "+strconv.FormatUint(b.lastBegin().RequestId, 16)+" at instance slo-a-1", failure.Where)
}

func TestLostBlockStaysFailedUntilRollback(t *testing.T) {
	for _, text := range []string{"BREAK", "REFUSE leaseLost", "COPY orders FROM STDIN"} {
		for _, mode := range []pgx.QueryExecMode{pgx.QueryExecModeSimpleProtocol, pgx.QueryExecModeCacheStatement} {
			b := newHarness(t)
			conn := b.connect("")
			tx, err := conn.Begin(b.context())
			require.NoError(t, err)
			_, err = tx.Exec(b.context(), text, mode)
			require.Error(t, err)
			require.EqualValues(t, 'E', conn.PgConn().TxStatus())
			_, err = tx.Exec(b.context(), "INSERT $1", mode, "order")
			requireSQLState(t, "25P02", err)
			require.NoError(t, tx.Rollback(b.context()))
			_, err = conn.Exec(b.context(), "INSERT $1", mode, "order")
			require.NoError(t, err)
			require.NotContains(t, b.ownerLog.snapshot().statements, "rollback")
		}
	}
}

func TestBlockLostBetweenStatementsIsNotRun(t *testing.T) {
	for _, endDelay := range []time.Duration{0, 100 * time.Millisecond} {
		t.Run("end seen after "+endDelay.String(), func(t *testing.T) { testBlockLostBetweenStatements(t, endDelay) })
	}
}

// testBlockLostBetweenStatements ends a transaction between two statements; with a delay the relay sees the end of the
// stream only after the next statement could not be sent.
func testBlockLostBetweenStatements(t *testing.T, endDelay time.Duration) {
	t.Helper()
	b := newHarness(t)
	b.update(func(b *harness) { b.endDelay = endDelay })
	conn := b.connect("")
	_, err := conn.Exec(b.context(), "BEGIN; LEAVE")
	require.NoError(t, err)
	require.Eventually(t, func() bool { return b.ownerLog.snapshot().ended == 1 }, testTimeout, time.Millisecond)
	_, err = conn.Exec(b.context(), "COMMIT")
	require.Contains(t, requireSQLState(t, "57P03", err), "not run")
	_, err = conn.Exec(b.context(), "ROLLBACK")
	require.NoError(t, err)
	require.Zero(t, b.server.Counters().UnknownOutcomes.Load())
}

func TestErrorAfterFlushIsFollowedByOneReady(t *testing.T) {
	for _, text := range []string{"BREAK", "REFUSE noPrimary", "BAD one"} {
		b := newHarness(t)
		conn := b.connect("")
		pipeline := conn.PgConn().StartPipeline(b.context())
		pipeline.SendQueryParams(text, nil, nil, nil, nil)
		pipeline.SendFlushRequest()
		require.NoError(t, pipeline.Flush())
		result, err := pipeline.GetResults()
		if err == nil {
			err = result.(*pgconn.ResultReader).Read().Err
		}
		require.Error(t, err)
		pipeline.SendQueryParams("INSERT skipped", nil, nil, nil, nil)
		require.NoError(t, pipeline.Sync())
		for result != nil || err != nil {
			result, err = pipeline.GetResults()
			if _, ok := result.(*pgconn.PipelineSync); ok {
				break
			}
		}
		require.NoError(t, pipeline.Close())
		_, err = conn.Exec(b.context(), "INSERT again")
		require.NoError(t, err)
		require.NotContains(t, b.ownerLog.snapshot().statements, "INSERT skipped")
	}
}

func TestCancelRequestReachesTheOwner(t *testing.T) {
	b := newHarness(t)
	conn := b.connect("")
	require.Equal(t, pgsrv.InstanceHash("slo-a-1"), uint16(conn.PgConn().PID()>>16))
	go func() {
		for len(b.ownerLog.snapshot().statements) == 0 {
			time.Sleep(time.Millisecond)
		}
		_ = conn.PgConn().CancelRequest(context.Background())
	}()
	_, err := conn.Exec(b.context(), "HANG")
	requireSQLState(t, "57014", err)
	require.Equal(t, 1, b.ownerLog.snapshot().cancels)
	// The cancel is counted just after it was sent, and the owner may answer first.
	require.Eventually(t, func() bool { return b.server.Counters().CancelsSent.Load() == 1 }, testTimeout, time.Millisecond)
	conn.PgConn().SecretKey()[0]++
	require.NoError(t, conn.PgConn().CancelRequest(b.context()))
	require.Eventually(t, func() bool { return b.server.Counters().CancelsIgnored.Load() == 1 }, testTimeout, time.Millisecond)
}

func TestSilentOwnerLeavesTheOutcomeUnknown(t *testing.T) {
	b := newHarness(t)
	b.update(func(b *harness) { b.contractTimeout = policy.Duration(time.Millisecond) })
	conn := b.connect("")
	_, err := conn.Exec(b.context(), "HANG")
	requireSQLState(t, "08007", err)
	require.EqualValues(t, 1, b.server.Counters().UnknownOutcomes.Load())
	require.Eventually(t, func() bool { return b.ownerLog.snapshot().ended == 1 }, testTimeout, time.Millisecond)
}

func TestCallerThatLeavesEndsItsTransaction(t *testing.T) {
	for _, texts := range [][]string{{"HANG"}, {"BEGIN"}, {"HANG", "INSERT later"}, {"HANG", "INSERT later", "INSERT last"}} {
		b := newHarness(t)
		conn := b.dial()
		startUp(t, conn)
		for _, text := range texts {
			_, err := conn.Write(encode(t, query(text)))
			require.NoError(t, err)
		}
		require.Eventually(t, func() bool { return len(b.ownerLog.snapshot().statements) == 1 }, testTimeout, time.Millisecond)
		require.NoError(t, conn.Close())
		require.Eventually(t, func() bool { return b.ownerLog.snapshot().ended == 1 }, testTimeout, time.Millisecond)
		require.Eventually(t, func() bool { return len(b.reportsSoFar()) == 1 }, testTimeout, time.Millisecond)
		require.True(t, b.reportsSoFar()[0].Abandoned)
		require.Len(t, b.ownerLog.snapshot().statements, 1)
	}
}

func TestCallerThatDoesNotReadHarmsNobody(t *testing.T) {
	b := newHarness(t, func(s *pgsrv.Settings) { s.WriteTimeout = 300 * time.Millisecond })
	stalled := b.dial()
	startUp(t, stalled)
	_, err := stalled.Write(encode(t, query(strings.Repeat("BIG; ", 4))))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return len(b.ownerLog.snapshot().statements) == 4 }, testTimeout, time.Millisecond)
	_, err = b.connect("").Exec(b.context(), "INSERT other")
	require.NoError(t, err)
	require.Eventually(t, func() bool { return b.server.Counters().SlowCallers.Load() == 1 }, testTimeout, time.Millisecond)
	require.Eventually(t, func() bool { return b.ownerLog.snapshot().ended == 2 }, testTimeout, time.Millisecond)
}
