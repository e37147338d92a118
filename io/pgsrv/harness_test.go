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

const patience = 5 * time.Second

func TestMain(m *testing.M) {
	tests.Fix(tests.DefaultChecks)
	goleak.VerifyTestMain(m)
}

// bench is a server with scripted owners and documents that tests change.
type bench struct {
	t       testing.TB
	server  *pgsrv.Server
	record  record
	owners  sync.WaitGroup
	mutex   sync.Mutex
	refusal error // of Open
	stale   error // of Fresh
	groups  []types.GroupID
	timeout policy.Duration
	// endDelay is that of the callers' ends of streams.
	endDelay time.Duration
	seen     []pgsrv.Transaction
}

func newBench(tb testing.TB, change ...func(*pgsrv.Settings)) *bench {
	tb.Helper()
	b := &bench{t: tb, groups: []types.GroupID{"orders-db"}}
	settings := pgsrv.Settings{Address: "127.0.0.1:0", InstanceID: "slo-a-1", Router: b, Book: b, Gate: b, Observe: b.observe}
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
		require.Empty(tb, b.record.named, "a target saw a named statement")
	})
	return b
}

func (b *bench) set(f func(*bench)) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	f(b)
}

func (b *bench) observe(t pgsrv.Transaction) { b.set(func(b *bench) { b.seen = append(b.seen, t) }) }

func (b *bench) observed() []pgsrv.Transaction {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return append([]pgsrv.Transaction(nil), b.seen...)
}

func (b *bench) Open(_ context.Context, begin *wire.Begin) (pgsrv.Stream, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.refusal != nil {
		return nil, b.refusal
	}
	near, far := net.Pipe()
	o := &owner{stream: &pipeStream{Conn: far}, begin: begin, record: &b.record, status: 'I', cancel: make(chan struct{})}
	b.record.add(func(r *record) { r.begins = append(r.begins, begin) })
	b.owners.Add(1)
	go func() {
		defer b.owners.Done()
		o.run()
	}()
	return &pipeStream{Conn: near, endDelay: b.endDelay}, nil
}

func (b *bench) Fresh() error {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.stale
}

func (b *bench) Contract(id types.CustomerID) (policy.Contract, types.Revision, bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	contract := policy.Contract{Customer: id, Groups: b.groups, StatementTimeout: b.timeout, QueueTimeout: b.timeout}
	return contract, 7, id == "desk"
}

func (b *bench) Database(id types.DatabaseID) (policy.Group, policy.Database, bool) {
	return policy.Group{Group: "orders-db"}, policy.Database{Database: id}, id == "orders-1"
}

func (b *bench) url(user, database, more string) string {
	return fmt.Sprintf("postgres://%s@%s/%s?sslmode=prefer&%s", user, b.server.Address(), database, more)
}

func (b *bench) connect(more string) *pgx.Conn {
	b.t.Helper()
	conn, err := pgx.Connect(b.context(), b.url("desk", "orders-1", more))
	require.NoError(b.t, err)
	b.t.Cleanup(func() { _ = conn.Close(context.Background()) })
	return conn
}

func (b *bench) context() context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	b.t.Cleanup(cancel)
	return ctx
}

func (b *bench) lastBegin() *wire.Begin {
	seen := b.record.snapshot()
	require.NotEmpty(b.t, seen.begins)
	return seen.begins[len(seen.begins)-1]
}

func requireState(tb testing.TB, state string, err error) string {
	tb.Helper()
	var failure *pgconn.PgError
	require.ErrorAs(tb, err, &failure)
	require.Equal(tb, state, failure.Code, failure.Message)
	return failure.Message
}
