package server_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/stretchr/testify/require"

	"turmericpulley/core/policy"
	"turmericpulley/core/types"
	"turmericpulley/io/fakedb"
)

// inForceLimit is the time within which every instance has to apply a stored contract.
const inForceLimit = 3 * time.Second

// putContract stores a contract in the platform's store, as an operator's command does.
func (f *fleet) putContract(t *testing.T, c policy.Contract) {
	t.Helper()
	f.putDocument(t, "contracts/"+string(c.Customer), encode(t, c))
}

// putDocument stores a document in the platform's store.
func (f *fleet) putDocument(t *testing.T, key, value string) {
	t.Helper()
	url := f.platform.URL() + "/v1/kv/" + key
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPut, url, bytes.NewBufferString(value))
	require.NoError(t, err)
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, http.StatusOK, response.StatusCode)
}

// TestRevokedGroupIsRefusedByEveryInstance removes a group from a contract while connections are open at every instance.
func TestRevokedGroupIsRefusedByEveryInstance(t *testing.T) {
	f := startFleet(t, 4, nil)
	conns := make([]*pgx.Conn, 0, len(f.servers))
	for i := range f.servers {
		conns = append(conns, f.connect(t, i, "desk-1"))
	}
	f.waitForOwner(t)
	_, err := conns[0].Exec(t.Context(), "INSERT INTO orders (key, value) VALUES ('a', 'x')")
	require.NoError(t, err)
	f.putContract(t, policy.Contract{Customer: testCustomer, Groups: []types.GroupID{"other-db"}, Connections: 6})
	storedAt := time.Now()
	for i, c := range conns {
		require.Eventually(t, func() bool {
			var value string
			err := c.QueryRow(t.Context(), "SELECT value FROM orders WHERE key = 'a'").Scan(&value)
			var refused *pgconn.PgError
			return errors.As(err, &refused) && refused.Code == "28000"
		}, inForceLimit, 5*time.Millisecond, "instance %d", i)
	}
	t.Logf("refused everywhere %v after the change was stored", time.Since(storedAt))
	require.Less(t, time.Since(storedAt), inForceLimit)
}

// TestReadsStayWithinMaxReadAge reads a counter that another session increments while replicas lag. No answer is older than
// the contract's maximum read age, whichever member gives it.
func TestReadsStayWithinMaxReadAge(t *testing.T) {
	const maxAge = 600 * time.Millisecond
	f := startFleet(t, 2, func(s *fakedb.Settings) { s.ApplyLag = 400 * time.Millisecond })
	f.putContract(t, policy.Contract{
		Customer: testCustomer, Groups: []types.GroupID{"orders-db"}, Connections: 6, MaxReadAge: policy.Duration(maxAge),
	})
	writer, reader := f.connect(t, 0, "desk-1"), f.connect(t, 1, "floor-1")
	f.waitForOwner(t)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	upsert := "INSERT INTO clock (key, value) VALUES ('now', $1) ON CONFLICT (key) DO UPDATE SET value = EXCLUDED.value"
	start := time.Now()
	// acknowledged holds the time at which each value was acknowledged.
	var acknowledged []time.Duration
	written := make(chan struct{})
	go func() {
		defer close(written)
		for time.Since(start) < 6*time.Second {
			if _, err := writer.Exec(ctx, upsert, strconv.Itoa(len(acknowledged))); err != nil {
				return
			}
			acknowledged = append(acknowledged, time.Since(start))
		}
	}()
	time.Sleep(time.Second)
	replicaReadsBefore := f.owner(t).Report().ReplicaReads
	type read struct {
		value     int
		startedAt time.Duration
	}
	reads := make([]read, 0, 400)
	for i := range cap(reads) {
		if i == cap(reads)/2 {
			for _, m := range f.members {
				m.SetApplyLag(2 * time.Second)
			}
		}
		var text string
		startedAt := time.Since(start)
		require.NoError(t, reader.QueryRow(ctx, "SELECT value FROM clock WHERE key = 'now'").Scan(&text))
		value, err := strconv.Atoi(text)
		require.NoError(t, err)
		reads = append(reads, read{value: value, startedAt: startedAt})
		time.Sleep(10 * time.Millisecond)
	}
	<-written
	var worst time.Duration
	for _, r := range reads {
		if next := r.value + 1; next < len(acknowledged) {
			worst = max(worst, r.startedAt-acknowledged[next])
		}
	}
	t.Logf("an answer was out of date for %v at most, replica reads %d", worst, f.owner(t).Report().ReplicaReads-replicaReadsBefore)
	require.Positive(t, f.owner(t).Report().ReplicaReads-replicaReadsBefore, "no replica was used")
	require.LessOrEqual(t, worst, maxAge)
}

// TestGroupOfOtherRegionIsNotOwned moves a group to another region. The instances release its database and refuse requests.
func TestGroupOfOtherRegionIsNotOwned(t *testing.T) {
	f := startFleet(t, 2, nil)
	c := f.connect(t, 0, "desk-1")
	f.waitForOwner(t)
	var group policy.Group
	require.NoError(t, json.Unmarshal([]byte(f.seed["groups/orders-db"]), &group))
	group.Region = "makedonia"
	f.putDocument(t, "groups/orders-db", encode(t, group))
	require.Eventually(t, func() bool {
		for _, s := range f.servers {
			if len(s.Report().Databases) > 0 {
				return false
			}
		}
		return true
	}, inForceLimit, 10*time.Millisecond)
	_, err := c.Exec(t.Context(), "SELECT value FROM orders WHERE key = 'a'")
	requireSQLState(t, err, "3D000")
}

// TestChangedGroupIsClaimedAgain lowers the number of a group's connections. The database gets a new owner with the new
// number, and requests go on.
func TestChangedGroupIsClaimedAgain(t *testing.T) {
	f := startFleet(t, 2, nil)
	c := f.connect(t, 0, "desk-1")
	f.waitForOwner(t)
	_, err := c.Exec(t.Context(), "INSERT INTO orders (key, value) VALUES ('a', 'x')")
	require.NoError(t, err)
	var group policy.Group
	require.NoError(t, json.Unmarshal([]byte(f.seed["groups/orders-db"]), &group))
	before := f.owner(t).Counters().Claims.Load()
	group.Connections = 4
	f.putDocument(t, "groups/orders-db", encode(t, group))
	require.Eventually(t, func() bool {
		for _, s := range f.servers {
			if s.Counters().Claims.Load() > before && len(s.Report().Databases) == 1 {
				return true
			}
		}
		return false
	}, inForceLimit, 10*time.Millisecond)
	var value string
	require.NoError(t, c.QueryRow(t.Context(), "SELECT value FROM orders WHERE key = 'a'").Scan(&value))
	require.Equal(t, "x", value)
}
