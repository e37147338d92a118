package store_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"turmericpulley/core/fault"
	"turmericpulley/core/types"
	"turmericpulley/io/store"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const testTimeout = 150 * time.Millisecond

func newClient(t *testing.T, handler http.HandlerFunc) *store.Client {
	t.Helper()
	return newClientWithTimeout(t, handler, testTimeout)
}

func newClientWithTimeout(t *testing.T, handler http.HandlerFunc, timeout time.Duration) *store.Client {
	t.Helper()
	server := httptest.NewServer(handler)
	client, err := store.New(store.Settings{Platform: server.URL, Timeout: timeout})
	require.NoError(t, err)
	t.Cleanup(func() {
		require.NoError(t, client.Close())
		server.CloseClientConnections()
		server.Close()
	})
	return client
}

// respondWith responds to every request with the status and the body.
func respondWith(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}
}

func abortConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func neverRespond(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.ReadAll(r.Body)
	<-r.Context().Done()
}

func requireFault(t *testing.T, err error, kind fault.Kind, outcome fault.Outcome) {
	t.Helper()
	f := fault.From(err)
	require.NotNil(t, f, "%v", err)
	require.Equal(t, kind, f.Kind, "%v", err)
	require.Equal(t, outcome, f.Outcome, "%v", err)
}

func TestCallsSendRequestsAndDecodeResponses(t *testing.T) {
	var sentRequest atomic.Value
	var reply atomic.Value
	client := newClient(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		sentRequest.Store(r.Method + " " + r.RequestURI + " " + string(body))
		respondWith(http.StatusOK, reply.Load().(string))(w, r)
	})
	ctx := context.Background()

	reply.Store(`{"key":"contracts/a b","value":"text","revision":7}`)
	value, revision, found, err := client.Get(ctx, "contracts/a b")
	require.NoError(t, err)
	require.True(t, found)
	require.Equal(t, "text", string(value))
	require.Equal(t, types.Revision(7), revision)
	require.Equal(t, "GET /v1/kv/contracts/a%20b ", sentRequest.Load())

	reply.Store(`{"revision":8}`)
	revision, err = client.Put(ctx, "contracts/a", []byte("v"), 7)
	require.NoError(t, err)
	require.Equal(t, types.Revision(8), revision)
	require.Equal(t, "PUT /v1/kv/contracts/a?expected=7 v", sentRequest.Load())
	_, err = client.Delete(ctx, "contracts/a", 8)
	require.NoError(t, err)
	require.Equal(t, "DELETE /v1/kv/contracts/a?expected=8 ", sentRequest.Load())

	reply.Store(`{"revision":9,"entries":[{"key":"contracts/a","value":"v","revision":8},{"key":"contracts/b","revision":9,"deleted":true}]}`)
	page, err := client.List(ctx, "contracts/", 7, time.Second)
	require.NoError(t, err)
	require.Equal(t, "GET /v1/kv?prefix=contracts%2F&after=7&waitMs=1000 ", sentRequest.Load())
	require.Len(t, page.Entries, 2)
	require.True(t, page.Entries[1].Deleted)

	reply.Store(`[{"id":"i1","kind":"instance","address":"127.0.0.1:1","dataCentre":"a","state":"leaving"}]`)
	listed, err := client.Targets(ctx)
	require.NoError(t, err)
	require.Equal(t, "i1", listed[0].ID)
	calls := client.Calls()
	require.Equal(t, int64(1), calls.Gets.Load()*calls.Puts.Load()*calls.Deletes.Load()*calls.Lists.Load()*calls.Targets.Load())
	require.Zero(t, calls.Failures.Load())
}

func TestMissingKeyIsNotFoundAndConflictReturnsRevision(t *testing.T) {
	missing := newClient(t, respondWith(http.StatusNotFound, ""))
	_, _, found, err := missing.Get(context.Background(), "k")
	require.NoError(t, err)
	require.False(t, found)
	client := newClient(t, respondWith(http.StatusConflict, `{"revision":12}`))
	present, err := client.Put(context.Background(), "k", nil, 3)
	requireFault(t, err, fault.RevisionConflict, fault.NotRun)
	require.Equal(t, types.Revision(12), present)
}

func TestUnusableResponsesAreFaults(t *testing.T) {
	for name, test := range map[string]struct {
		handler   http.HandlerFunc
		malformed bool
	}{
		"no JSON":        {respondWith(http.StatusOK, "<html>"), true},
		"empty":          {respondWith(http.StatusOK, ""), true},
		"other document": {respondWith(http.StatusOK, `[{"x":1}]`), true},
		"empty object":   {respondWith(http.StatusOK, `{}`), true},
		"another key":    {respondWith(http.StatusOK, `{"key":"other","value":"v","revision":1,"entries":[{"key":"other","revision":1}]}`), true},
		"empty conflict": {respondWith(http.StatusConflict, "{}"), false},
		"redirect":       {respondWith(http.StatusTemporaryRedirect, ""), false},
		"server error":   {respondWith(http.StatusServiceUnavailable, "down"), false},
		"aborted":        {abortConnection, false},
		"too slow":       {neverRespond, false},
	} {
		t.Run(name, func(t *testing.T) {
			client := newClient(t, test.handler)
			ctx := context.Background()
			_, _, found, err := client.Get(ctx, "k")
			requireFault(t, err, fault.StoreUnavailable, fault.NotRun)
			require.False(t, found)
			_, err = client.List(ctx, "k", 0, 0)
			requireFault(t, err, fault.StoreUnavailable, fault.NotRun)
			require.Equal(t, test.malformed, client.Calls().Malformed.Load() > 0)
			if name == "another key" {
				return // valid as a response to a write
			}
			_, err = client.Put(ctx, "k", []byte("v"), 1)
			requireFault(t, err, fault.StoreUnavailable, fault.Unknown)
			_, err = client.Delete(ctx, "k", 1)
			requireFault(t, err, fault.StoreUnavailable, fault.Unknown)
			require.Equal(t, int64(2), client.Calls().OutcomesUnknown.Load())
		})
	}
}

func TestOversizedResponsesAndValuesAreRejected(t *testing.T) {
	long := `{"key":"k","revision":1,"value":"` + strings.Repeat("x", 2<<20) + `"}`
	// The size limit has to end the reading. On a busy machine testTimeout ended the reading of 2 MiB first.
	client := newClientWithTimeout(t, respondWith(http.StatusOK, long), 20*time.Second)
	_, _, found, err := client.Get(context.Background(), "k")
	require.False(t, found)
	requireFault(t, err, fault.StoreUnavailable, fault.NotRun)
	_, err = client.Put(context.Background(), "k", nil, 1)
	requireFault(t, err, fault.StoreUnavailable, fault.Unknown)
	require.Equal(t, int64(2), client.Calls().Malformed.Load())
	_, err = client.Put(context.Background(), "k", []byte(long), 1)
	requireFault(t, err, fault.InvalidSettings, fault.NotRun)
}

func TestListingsOutsideTheRequestedRangeAreMalformed(t *testing.T) {
	for name, body := range map[string]string{
		"lower revision": `{"revision":4,"entries":[]}`,
		"entry too old":  `{"revision":9,"entries":[{"key":"k/a","revision":5}]}`,
		"entry too new":  `{"revision":9,"entries":[{"key":"k/a","revision":10}]}`,
	} {
		t.Run(name, func(t *testing.T) {
			client := newClient(t, respondWith(http.StatusOK, body))
			_, err := client.List(context.Background(), "k/", 5, 0)
			requireFault(t, err, fault.StoreUnavailable, fault.NotRun)
			require.Equal(t, int64(1), client.Calls().Malformed.Load())
		})
	}
}

func TestWritesWithoutConnectionHaveNotRun(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, listener.Close())
	client, err := store.New(store.Settings{Platform: "http://" + listener.Addr().String(), Timeout: testTimeout})
	require.NoError(t, err)
	_, err = client.Put(context.Background(), "k", nil, 1)
	requireFault(t, err, fault.StoreUnavailable, fault.NotRun)
	_, err = store.New(store.Settings{Platform: "127.0.0.1:80"})
	requireFault(t, err, fault.InvalidSettings, fault.NotRun)
}

func TestListWaitIsAddedToTheTimeout(t *testing.T) {
	client := newClient(t, func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(2 * testTimeout)
		respondWith(http.StatusOK, `{"revision":5,"entries":[]}`)(w, r)
	})
	page, err := client.List(context.Background(), "k/", 5, 2*testTimeout)
	require.NoError(t, err)
	require.Equal(t, types.Revision(5), page.Revision)
}

// TestLongResponseOverASlowLinkIsReadToItsEnd guards against lists that an instance begins to read again and again because they take longer
// than a platform that is silent may. One that stops in the middle of a response is given up.
func TestLongResponseOverASlowLinkIsReadToItsEnd(t *testing.T) {
	body := `{"revision":5,"entries":[]` + strings.Repeat(" ", 1<<10) + "}"
	const parts = 8
	stops := atomic.Bool{}
	client := newClient(t, func(w http.ResponseWriter, r *http.Request) {
		for part := range slices.Chunk([]byte(body), len(body)/parts) {
			_, _ = w.Write(part)
			_ = http.NewResponseController(w).Flush()
			if stops.Load() {
				<-r.Context().Done()
				return
			}
			time.Sleep(testTimeout / 3)
		}
	})
	page, err := client.List(context.Background(), "k/", 5, 0)
	require.NoError(t, err)
	require.Equal(t, types.Revision(5), page.Revision)
	stops.Store(true)
	_, err = client.List(context.Background(), "k/", 5, 0)
	requireFault(t, err, fault.StoreUnavailable, fault.NotRun)
}
