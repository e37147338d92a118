package admin_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"turmericpulley/core/fleet"
	"turmericpulley/core/policy"
	"turmericpulley/core/types"
	"turmericpulley/io/admin"
	"turmericpulley/io/fakekv"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const testTimeout = 2 * time.Second

func newPlatform(t *testing.T, instances ...fleet.Instance) *fakekv.Platform {
	t.Helper()
	members, err := fleet.Membership{Instances: instances}.Encode()
	require.NoError(t, err)
	platform, err := fakekv.Start(fakekv.Settings{Address: "127.0.0.1:0", Seed: map[string]string{"instances/r": string(members)}})
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, platform.Close()) })
	return platform
}

func newClient(t *testing.T, platform, name string, timeout time.Duration) *admin.Client {
	t.Helper()
	client, err := admin.New(admin.Settings{Platform: platform, Timeout: timeout, Operator: name})
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, client.Close()) })
	return client
}

func contractWithConnections(connections int) policy.Contract {
	return policy.Contract{Customer: "sencnik", Groups: []types.GroupID{"orders-db"}, Connections: connections}
}

// newInstance starts an HTTP server in place of an instance. It reports the change as in force while hasChange is true, and
// aborts every request while responds is false.
func newInstance(t *testing.T, id types.InstanceID, hasChange, responds *atomic.Bool) fleet.Instance {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !responds.Load() {
			panic(http.ErrAbortHandler)
		}
		ids := []types.InstanceID{}
		if hasChange.Load() {
			ids = append(ids, id)
		}
		_ = json.NewEncoder(w).Encode(map[string]any{"inForce": ids, "revision": r.URL.Query().Get("revision")})
	}))
	t.Cleanup(server.Close)
	return fleet.Instance{ID: id, HTTPAddress: server.Listener.Addr().String(), Incarnation: 1, State: fleet.Live}
}

// fakeFleet has three instances whose behaviour the tests set.
type fakeFleet struct {
	hasChange [3]atomic.Bool
	responds  [3]atomic.Bool
	instances []fleet.Instance
}

func newFleet(t *testing.T) *fakeFleet {
	t.Helper()
	f := &fakeFleet{}
	for i := range f.hasChange {
		f.hasChange[i].Store(true)
		f.responds[i].Store(true)
		f.instances = append(f.instances, newInstance(t, types.InstanceID(fmt.Sprint("i", i)), &f.hasChange[i], &f.responds[i]))
	}
	return f
}

func TestOnlyOneConcurrentChangeOfRevisionIsAccepted(t *testing.T) {
	platform := newPlatform(t)
	first := newClient(t, platform.URL(), "first", testTimeout).Apply(context.Background(), contractWithConnections(1), admin.Base{})
	require.Equal(t, admin.Accepted, first.Outcome)
	const operators = 8
	results := make([]admin.Result, operators)
	var group sync.WaitGroup
	for i := range operators {
		client := newClient(t, platform.URL(), fmt.Sprint(i), testTimeout)
		group.Go(func() {
			base := admin.Base{Explicit: true, Revision: first.Revision}
			results[i] = client.Apply(context.Background(), contractWithConnections(i+2), base)
		})
	}
	group.Wait()
	accepted := 0
	present, found, err := newClient(t, platform.URL(), "", testTimeout).Contract(context.Background(), "sencnik")
	require.NoError(t, err)
	require.True(t, found)
	for i, result := range results {
		if result.Outcome == admin.Accepted {
			accepted++
			require.Equal(t, result.ChangeID, present.Contract.ChangeID)
			require.Equal(t, i+2, present.Contract.Connections)
			continue
		}
		require.Equal(t, admin.Conflict, result.Outcome, result.Detail)
		require.False(t, present.Contract.IncludesChange(result.ChangeID))
	}
	require.Equal(t, 1, accepted)
	require.Equal(t, first.ChangeID, present.Contract.History[0].ChangeID)
	require.Equal(t, first.Revision, present.Contract.History[0].Revision)
}

func TestApplyConflictsWhenDocumentIsOutdated(t *testing.T) {
	platform := newPlatform(t)
	client := newClient(t, platform.URL(), "o", testTimeout)
	ctx := context.Background()
	client.Apply(ctx, contractWithConnections(1), admin.Base{})
	edited, _, err := client.Contract(ctx, "sencnik")
	require.NoError(t, err)
	edited.Contract.Connections = 9
	require.Equal(t, admin.Accepted, client.Apply(ctx, edited.Contract, admin.Base{}).Outcome)
	require.Equal(t, admin.Conflict, client.Apply(ctx, edited.Contract, admin.Base{}).Outcome)
	require.Equal(t, admin.Conflict, client.Apply(ctx, contractWithConnections(2), admin.Base{Explicit: true}).Outcome)
	for range 25 {
		require.Equal(t, admin.Accepted, client.Apply(ctx, contractWithConnections(3), admin.Base{}).Outcome)
	}
	present, _, err := client.Contract(ctx, "sencnik")
	require.NoError(t, err)
	require.Len(t, present.Contract.History, policy.MaxHistory)
}

func TestApplyRecognisesStoredChangeAfterLostResponse(t *testing.T) {
	platform := newPlatform(t)
	client := newClient(t, platform.URL(), "o", testTimeout)
	platform.SetFaults(fakekv.Faults{LoseResponses: 1})
	result := client.Apply(context.Background(), contractWithConnections(4), admin.Base{})
	require.Equal(t, admin.Accepted, result.Outcome, result.Detail)
	present, _, err := client.Contract(context.Background(), "sencnik")
	require.NoError(t, err)
	require.Equal(t, result.Revision, present.Revision)
	require.Empty(t, present.Contract.History, "the change was stored once")
}

// interceptWrites returns the URL of a proxy in front of the platform. For each write it calls onWrite, which may call forward to
// pass the write on. All other requests are passed on.
func interceptWrites(t *testing.T, platform string, onWrite func(w http.ResponseWriter, forward func())) string {
	t.Helper()
	target, err := url.Parse(platform)
	require.NoError(t, err)
	proxy := httputil.NewSingleHostReverseProxy(target)
	transport := &http.Transport{}
	proxy.Transport = transport
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPut {
			proxy.ServeHTTP(w, r)
			return
		}
		body, _ := io.ReadAll(r.Body)
		onWrite(w, func() {
			r.Body = io.NopCloser(bytes.NewReader(body))
			proxy.ServeHTTP(w, r)
		})
	}))
	t.Cleanup(func() {
		server.Close()
		transport.CloseIdleConnections()
	})
	return server.URL
}

// concurrentChangeTimeout is far longer than the few milliseconds that a change takes, so that no change times out on a
// busy machine.
const concurrentChangeTimeout = 30 * time.Second

// A write takes effect but its response is lost, and other changes follow. The change is recognised as long as the history
// of the present contract goes back to it.
func TestApplyFindsLostChangeInHistory(t *testing.T) {
	t.Parallel()
	for laterChanges, want := range map[int]admin.Outcome{1: admin.Accepted, 20: admin.Accepted, 21: admin.Unknown} {
		t.Run(fmt.Sprint(laterChanges), func(t *testing.T) {
			platform := newPlatform(t)
			other := newClient(t, platform.URL(), "other", concurrentChangeTimeout)
			other.Apply(context.Background(), contractWithConnections(1), admin.Base{})
			later := make(chan admin.Result, 2*laterChanges)
			proxy := interceptWrites(t, platform.URL(), func(_ http.ResponseWriter, forward func()) {
				// The write takes effect, other changes follow it, and its response is lost.
				forward()
				for i := range laterChanges {
					later <- other.Apply(context.Background(), contractWithConnections(i+2), admin.Base{})
				}
				panic(http.ErrAbortHandler)
			})
			result := newClient(t, proxy, "o", 2*concurrentChangeTimeout).Apply(context.Background(), contractWithConnections(99), admin.Base{})
			require.Len(t, later, laterChanges, "the lost write was sent once")
			for range laterChanges {
				r := <-later
				require.Equal(t, admin.Accepted, r.Outcome, r.Detail)
			}
			require.Equal(t, want, result.Outcome, result.Detail)
			present, _, err := other.Contract(context.Background(), "sencnik")
			require.NoError(t, err)
			require.Equal(t, laterChanges+1, present.Contract.Connections)
		})
	}
}

func TestLostWriteIsRepeatedUnlessAnotherChangeWasStored(t *testing.T) {
	platform := newPlatform(t)
	other := newClient(t, platform.URL(), "other", testTimeout)
	other.Apply(context.Background(), contractWithConnections(1), admin.Base{})
	storeAnother := true
	writes := 0
	proxy := interceptWrites(t, platform.URL(), func(_ http.ResponseWriter, forward func()) {
		writes++
		if writes > 1 {
			forward()
			return
		}
		if storeAnother {
			other.Apply(context.Background(), contractWithConnections(2), admin.Base{})
		}
		panic(http.ErrAbortHandler)
	})
	client := newClient(t, proxy, "o", testTimeout)
	require.Equal(t, admin.Conflict, client.Apply(context.Background(), contractWithConnections(99), admin.Base{}).Outcome)
	require.Equal(t, 1, writes, "a write that can no longer succeed is not repeated")
	storeAnother, writes = false, 0
	require.Equal(t, admin.Accepted, client.Apply(context.Background(), contractWithConnections(99), admin.Base{}).Outcome)
	require.Equal(t, 2, writes)
}

func TestApplyTellsUnknownFromNotRun(t *testing.T) {
	platform := newPlatform(t)
	proxy := interceptWrites(t, platform.URL(), func(_ http.ResponseWriter, forward func()) {
		forward()
		platform.SetFaults(fakekv.Faults{Down: true})
		panic(http.ErrAbortHandler)
	})
	client := newClient(t, proxy, "o", 500*time.Millisecond)
	result := client.Apply(context.Background(), contractWithConnections(1), admin.Base{})
	require.Equal(t, admin.Unknown, result.Outcome)
	require.Contains(t, result.Detail, result.ChangeID)
	require.Equal(t, admin.NotRun, client.Apply(context.Background(), contractWithConnections(1), admin.Base{}).Outcome)
}

func TestApplyIsPendingUntilEveryLiveInstanceHasChange(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	platform := newPlatform(t, f.instances...)
	client := newClient(t, platform.URL(), "o", 4*time.Second)
	apply := func() admin.Result {
		return client.Apply(context.Background(), contractWithConnections(1), admin.Base{})
	}
	result := apply()
	require.Equal(t, admin.Accepted, result.Outcome, result.Detail)
	require.Len(t, result.InForce, 3)

	f.hasChange[2].Store(false)
	result = apply()
	require.Equal(t, admin.Pending, result.Outcome)
	require.Equal(t, []types.InstanceID{"i2"}, result.Waiting)
	require.True(t, strings.Contains(result.Detail, "stored as revision"), result.Detail)

	timer := time.AfterFunc(300*time.Millisecond, func() { f.hasChange[2].Store(true) })
	defer timer.Stop()
	require.Equal(t, admin.Accepted, apply().Outcome)
}

func TestApplyWaitsForInstanceThatWasJustRemoved(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.hasChange[2].Store(false)
	f.responds[2].Store(false)
	platform := newPlatform(t, f.instances[:2]...)
	started := time.Now()
	result := newClient(t, platform.URL(), "o", 4*time.Second).Apply(context.Background(), contractWithConnections(1), admin.Base{})
	require.Equal(t, admin.Accepted, result.Outcome, result.Detail)
	require.GreaterOrEqual(t, time.Since(started), 3*time.Second, "the third may take work under the old contract for 2 s")
}

func TestUnreachableInstanceIsIsolatedAfterTimeout(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.responds[2].Store(false)
	platform := newPlatform(t, f.instances...)
	require.Equal(t, admin.Pending,
		newClient(t, platform.URL(), "o", 2*time.Second).Apply(context.Background(), contractWithConnections(1), admin.Base{}).Outcome)
	client := newClient(t, platform.URL(), "o", 5*time.Second)
	started := time.Now()
	result := client.Apply(context.Background(), contractWithConnections(2), admin.Base{})
	require.Equal(t, admin.Accepted, result.Outcome, result.Detail)
	require.Equal(t, []types.InstanceID{"i2"}, result.Isolated)
	require.GreaterOrEqual(t, time.Since(started), 3*time.Second)
	f.responds[1].Store(false)
	result = client.Apply(context.Background(), contractWithConnections(3), admin.Base{})
	require.Equal(t, admin.Pending, result.Outcome, "one of three is not a majority")
}

func TestApplyIsPendingWhenMembersAreMinorityOfListedInstances(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	platform := newPlatform(t, f.instances[0])
	listed := make([]fakekv.Target, 0, len(f.instances))
	for _, i := range f.instances {
		listed = append(listed, fakekv.Target{
			ID: string(i.ID), Kind: fakekv.KindInstance, Address: i.HTTPAddress, State: fakekv.StateLive,
		})
	}
	platform.SetTargets(listed)
	client := newClient(t, platform.URL(), "o", 4*time.Second)
	result := client.Apply(context.Background(), contractWithConnections(1), admin.Base{})
	require.Equal(t, admin.Pending, result.Outcome)
	require.Equal(t, []types.InstanceID{"i1", "i2"}, result.Removed)
	platform.SetTargets(listed[:1])
	require.Equal(t, admin.Accepted, client.Apply(context.Background(), contractWithConnections(1), admin.Base{}).Outcome)
}
