package pgsrv_test

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"turmericpulley/core/policy"
	"turmericpulley/core/tests"
	"turmericpulley/core/types"
	"turmericpulley/io/pgsrv"
	"turmericpulley/io/wire"
)

const testTimeout = 5 * time.Second

func TestMain(m *testing.M) {
	tests.Fix(tests.DefaultChecks)
	goleak.VerifyTestMain(m)
}

// harness is a server with scripted owners and documents that tests change.
type harness struct {
	t               testing.TB
	server          *pgsrv.Server
	ownerLog        ownerLog
	owners          sync.WaitGroup
	mutex           sync.Mutex
	openError       error // of Open
	freshError      error // of Fresh
	groups          []types.GroupID
	contractTimeout policy.Duration
	// endDelay is that of the callers' ends of streams.
	endDelay time.Duration
	reports  []pgsrv.TransactionReport
}

func newHarness(tb testing.TB, change ...func(*pgsrv.Settings)) *harness {
	tb.Helper()
	b := &harness{t: tb, groups: []types.GroupID{"orders-db"}}
	settings := pgsrv.Settings{Address: "127.0.0.1:0", InstanceID: "slo-a-1", Router: b, Documents: b, Freshness: b, Observe: b.addReport}
	for _, f := range change {
		f(&settings)
	}
	server, err := pgsrv.New(settings)
	require.NoError(tb, err)
	b.server = server
	tb.Cleanup(func() {
		require.NoError(tb, server.Close())
		b.owners.Wait()
		require.Zero(tb, server.Counters().Connections.Load())
		require.Empty(tb, b.ownerLog.names, "a target saw a named statement")
	})
	return b
}

func (b *harness) update(f func(*harness)) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	f(b)
}

func (b *harness) addReport(t pgsrv.TransactionReport) {
	b.update(func(b *harness) { b.reports = append(b.reports, t) })
}

func (b *harness) reportsSoFar() []pgsrv.TransactionReport {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return append([]pgsrv.TransactionReport(nil), b.reports...)
}

func (b *harness) Open(_ context.Context, begin *wire.Begin) (pgsrv.Stream, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.openError != nil {
		return nil, b.openError
	}
	near, far := net.Pipe()
	o := &scriptedOwner{stream: &pipeStream{Conn: far}, begin: begin, log: &b.ownerLog, status: 'I', cancel: make(chan struct{})}
	b.ownerLog.add(func(r *ownerLog) { r.begins = append(r.begins, begin) })
	b.owners.Add(1)
	go func() {
		defer b.owners.Done()
		o.run()
	}()
	return &pipeStream{Conn: near, endDelay: b.endDelay}, nil
}

func (b *harness) CheckFreshness() error {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.freshError
}

func (b *harness) Contract(id types.CustomerID) (policy.Contract, types.Revision, bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	contract := policy.Contract{Customer: id, Groups: b.groups, StatementTimeout: b.contractTimeout, QueueTimeout: b.contractTimeout}
	return contract, 7, id == "desk"
}

func (b *harness) Database(id types.DatabaseID) (policy.Group, policy.Database, bool) {
	return policy.Group{Group: "orders-db"}, policy.Database{Database: id}, id == "orders-1"
}

func (b *harness) url(user, database, more string) string {
	return fmt.Sprintf("postgres://%s@%s/%s?sslmode=prefer&%s", user, b.server.Address(), database, more)
}

func (b *harness) connect(more string) *pgx.Conn {
	b.t.Helper()
	conn, err := pgx.Connect(b.context(), b.url("desk", "orders-1", more))
	require.NoError(b.t, err)
	b.t.Cleanup(func() { _ = conn.Close(context.Background()) })
	return conn
}

func (b *harness) context() context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	b.t.Cleanup(cancel)
	return ctx
}

func (b *harness) lastBegin() *wire.Begin {
	seen := b.ownerLog.snapshot()
	require.NotEmpty(b.t, seen.begins)
	return seen.begins[len(seen.begins)-1]
}

func requireSQLState(tb testing.TB, state string, err error) string {
	tb.Helper()
	var failure *pgconn.PgError
	require.ErrorAs(tb, err, &failure)
	require.Equal(tb, state, failure.Code, failure.Message)
	return failure.Message
}
