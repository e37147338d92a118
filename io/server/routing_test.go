package server_test

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"turmericpulley/core/policy"
	"turmericpulley/core/trace"
	"turmericpulley/core/types"
	"turmericpulley/io/server"
)

type assertT = assert.CollectT

func TestWriteIsReadThroughEveryInstance(t *testing.T) {
	f := startFleet(t, 3, nil)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	writer := f.connect(t, 0, "desk-1")
	require.EventuallyWithT(t, func(c *assertT) {
		_, err := writer.Exec(ctx, "INSERT INTO orders (key, value) VALUES ($1, $2) ON CONFLICT (key) DO UPDATE SET value = EXCLUDED.value", "o1", "v1")
		require.NoError(c, err)
	}, 10*time.Second, 100*time.Millisecond)
	for i := range 3 {
		reader := f.connect(t, i, "desk-1")
		var value string
		require.NoError(t, reader.QueryRow(ctx, "SELECT value FROM orders WHERE key = $1", "o1").Scan(&value))
		require.Equal(t, "v1", value)
	}
}

// TestReadOnlyBlocksRunOnReplicas begins blocks that the caller declares read-only. A write in such a block is refused.
func TestReadOnlyBlocksRunOnReplicas(t *testing.T) {
	f := startFleet(t, 1, nil)
	c := f.connect(t, 0, "accounts")
	f.waitForOwner(t)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	for _, begin := range []string{"BEGIN READ ONLY", "start transaction isolation level repeatable read, read only"} {
		before := f.owner(t).Report().ReplicaReads
		_, err := c.Exec(ctx, begin, pgx.QueryExecModeSimpleProtocol)
		require.NoError(t, err)
		var count int
		require.NoError(t, c.QueryRow(ctx, "SELECT count(*) FROM orders").Scan(&count))
		_, err = c.Exec(ctx, "COMMIT", pgx.QueryExecModeSimpleProtocol)
		require.NoError(t, err)
		require.Equal(t, before+1, f.owner(t).Report().ReplicaReads, begin)
	}
	_, err := c.Exec(ctx, "BEGIN READ ONLY; INSERT INTO orders (key, value) VALUES ('k', 'x'); COMMIT", pgx.QueryExecModeSimpleProtocol)
	requireSQLState(t, err, "25006")
}

// TestTraceShowsRouteOfRequest looks up a refused request at the caller's instance and at the owner's.
func TestTraceShowsRouteOfRequest(t *testing.T) {
	f := startFleet(t, 2, nil)
	f.connect(t, 0, "probe")
	f.waitForOwner(t)
	other := 0
	if f.servers[0] == f.owner(t) {
		other = 1
	}
	f.putContract(t, policy.Contract{Customer: testCustomer, Groups: []types.GroupID{"orders-db"}, Connections: 6, RequestRate: 1})
	c := f.connect(t, other, "desk-1")
	var refused *pgconn.PgError
	require.Eventually(t, func() bool {
		_, err := c.Exec(t.Context(), "SELECT value FROM orders WHERE key = 'a'", pgx.QueryExecModeSimpleProtocol)
		return errors.As(err, &refused) && refused.Code == "53400"
	}, 5*time.Second, 5*time.Millisecond)
	id := strings.Fields(refused.Where)[1]
	f.requireSteps(t, f.servers[other], id, trace.Routed, trace.Refused)
	f.requireSteps(t, f.owner(t), id, trace.Refused)
}

// requireSteps waits until an instance's trace of a request has these steps; they are recorded just after the answer is sent.
func (f *fleet) requireSteps(t *testing.T, s *server.Server, id string, wanted ...trace.Step) {
	t.Helper()
	require.EventuallyWithT(t, func(c *assertT) {
		require.Equal(c, wanted, f.steps(t, s, id))
	}, 5*time.Second, 5*time.Millisecond)
}

// steps returns the steps in an instance's trace of a request.
func (f *fleet) steps(t *testing.T, s *server.Server, id string) []trace.Step {
	t.Helper()
	response, err := http.Get("http://" + s.HTTPAddress() + "/debug/requests/" + id)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	var recorded trace.Trace
	require.NoError(t, json.NewDecoder(response.Body).Decode(&recorded))
	steps := make([]trace.Step, 0, len(recorded.Events))
	for _, e := range recorded.Events {
		steps = append(steps, e.Step)
	}
	return steps
}

// TestInstanceWithoutDocumentsRefusesAsNotReady connects to an instance that has reached neither the store nor a peer.
func TestInstanceWithoutDocumentsRefusesAsNotReady(t *testing.T) {
	s, err := server.New(server.Settings{
		ID: "alone", Region: "slo-central", DataCentre: "slo-a", Platform: "http://" + freeAddress(t),
		CallersAddress: "127.0.0.1:0", PeersAddress: freeAddress(t), HTTPAddress: "127.0.0.1:0",
	})
	require.NoError(t, err)
	defer s.Close()
	_, err = pgx.Connect(t.Context(), "postgres://sencnik@"+s.CallersAddress()+"/orders-0?sslmode=disable")
	requireSQLState(t, err, "57P03")
}
