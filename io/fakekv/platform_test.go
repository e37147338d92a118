package fakekv_test

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"turmericpulley/io/fakekv"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testClient sends requests to one platform.
type testClient struct {
	t        *testing.T
	platform *fakekv.Platform
	client   *http.Client
}

// reply holds the fields of all kinds of response.
type reply struct {
	status   int
	Key      string  `json:"key"`
	Value    string  `json:"value"`
	Revision int     `json:"revision"`
	Deleted  bool    `json:"deleted"`
	Lease    string  `json:"lease"`
	Entries  []reply `json:"entries"`
}

func startPlatform(t *testing.T) testClient {
	t.Helper()
	p, err := fakekv.Start(fakekv.Settings{Address: "127.0.0.1:0", Seed: map[string]string{"seed/a": "1"}})
	require.NoError(t, err)
	client := &http.Client{Transport: &http.Transport{}}
	t.Cleanup(func() {
		client.CloseIdleConnections()
		require.NoError(t, p.Close())
	})
	return testClient{t, p, client}
}

func (c testClient) send(method, path, body string) (reply, error) {
	request, err := http.NewRequestWithContext(c.t.Context(), method, c.platform.URL()+path, strings.NewReader(body))
	require.NoError(c.t, err)
	response, err := c.client.Do(request)
	if err != nil {
		return reply{}, err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	require.NoError(c.t, err)
	found := reply{status: response.StatusCode}
	_ = json.Unmarshal(data, &found)
	return found, nil
}

// expect sends a request and requires the status of its response.
func (c testClient) expect(status int, method, path, body string) reply {
	c.t.Helper()
	found, err := c.send(method, path, body)
	require.NoError(c.t, err)
	require.Equal(c.t, status, found.status, path)
	return found
}

func TestWritesRequireTheExpectedRevision(t *testing.T) {
	c := startPlatform(t)
	require.Equal(t, "1", c.expect(200, "GET", "/v1/kv/seed/a", "").Value)
	c.expect(404, "GET", "/v1/kv/a", "")
	first := c.expect(200, "PUT", "/v1/kv/a?expected=0", "x").Revision
	require.Equal(t, first, c.expect(409, "PUT", "/v1/kv/a?expected=0", "y").Revision)
	second := c.expect(200, "PUT", "/v1/kv/a?expected="+strconv.Itoa(first), "y").Revision
	require.Greater(t, second, first)
	require.Equal(t, second, c.expect(409, "DELETE", "/v1/kv/a?expected="+strconv.Itoa(first), "").Revision)
	c.expect(200, "PUT", "/v1/kv/a", "z")
	c.expect(200, "DELETE", "/v1/kv/a", "")
	require.Zero(t, c.expect(409, "PUT", "/v1/kv/a?expected="+strconv.Itoa(second), "").Revision)
	c.expect(400, "PUT", "/v1/kv/a?expected=x", "")
	c.expect(413, "PUT", "/v1/kv/a", strings.Repeat("x", 1<<20+1))
	require.Equal(t, fakekv.Calls{Reads: 2, Writes: 9}, c.platform.Calls())
}

func TestWatchReturnsChangesAndDeletions(t *testing.T) {
	c := startPlatform(t)
	revision := c.expect(200, "GET", "/v1/kv?prefix=w/", "").Revision
	watch := func() reply {
		return c.expect(200, "GET", "/v1/kv?prefix=w/&waitMs=5000&after="+strconv.Itoa(revision), "")
	}
	timer := time.AfterFunc(20*time.Millisecond, func() {
		_, _ = c.send("PUT", "/v1/kv/other", "")
		_, _ = c.send("PUT", "/v1/kv/w/a", "1")
	})
	defer timer.Stop()
	found := watch()
	require.Len(t, found.Entries, 1)
	require.Equal(t, "w/a", found.Entries[0].Key)
	require.Equal(t, found.Entries[0].Revision, found.Revision)
	revision = found.Revision
	c.expect(200, "DELETE", "/v1/kv/w/a", "")
	require.True(t, watch().Entries[0].Deleted)
	started := time.Now()
	require.Empty(t, c.expect(200, "GET", "/v1/kv?prefix=none&waitMs=50", "").Entries)
	require.GreaterOrEqual(t, time.Since(started), 50*time.Millisecond)
	require.EqualValues(t, 3, c.platform.Calls().LongPolls)
}

func TestExpiredLeaseDeletesItsKeys(t *testing.T) {
	c := startPlatform(t)
	c.expect(404, "POST", "/v1/leases/none/renew", "")
	c.expect(404, "PUT", "/v1/kv/l?lease=none", "")
	lease := c.expect(200, "POST", "/v1/leases?ttlMs=1000", "").Lease
	revision := c.expect(200, "PUT", "/v1/kv/l?lease="+lease, "x").Revision
	time.AfterFunc(500*time.Millisecond, func() { _, _ = c.send("POST", "/v1/leases/"+lease+"/renew", "") })
	started := time.Now()
	found := c.expect(200, "GET", "/v1/kv?prefix=l&waitMs=5000&after="+strconv.Itoa(revision), "")
	require.True(t, found.Entries[0].Deleted)
	require.GreaterOrEqual(t, time.Since(started), 1400*time.Millisecond)
	c.expect(404, "POST", "/v1/leases/"+lease+"/renew", "")
}

func TestFaultsLoseResponsesAndRefuseOrDelayCalls(t *testing.T) {
	c := startPlatform(t)
	c.expect(200, "PUT", "/standin/faults", `{"loseAnswers":1}`)
	_, err := c.send("PUT", "/v1/kv/a?expected=0", "x")
	require.Error(t, err)
	require.Equal(t, "x", c.expect(200, "GET", "/v1/kv/a", "").Value)
	c.expect(409, "PUT", "/v1/kv/a?expected=0", "x")

	watched := make(chan reply, 1)
	go func() {
		found, _ := c.send("GET", "/v1/kv?prefix=none&waitMs=60000", "")
		watched <- found
	}()
	require.Eventually(t, func() bool { return c.platform.Calls().LongPolls == 1 }, 5*time.Second, time.Millisecond)
	c.platform.SetFaults(fakekv.Faults{Down: true})
	require.Equal(t, 503, (<-watched).status)
	c.expect(503, "PUT", "/v1/kv/a", "y")
	c.platform.SetFaults(fakekv.Faults{DelayMs: 50})
	started := time.Now()
	require.Equal(t, "x", c.expect(200, "GET", "/v1/kv/a", "").Value)
	require.GreaterOrEqual(t, time.Since(started), 50*time.Millisecond)
}

func TestTargetListChangesAppearAfterTheListLag(t *testing.T) {
	c := startPlatform(t)
	list := func() string {
		response, err := c.client.Get(c.platform.URL() + "/v1/targets")
		require.NoError(t, err)
		defer func() { _ = response.Body.Close() }()
		data, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		return strings.TrimSpace(string(data))
	}
	require.Equal(t, "[]", list())
	c.platform.SetFaults(fakekv.Faults{ListLagMs: 500})
	listed := `[{"id":"i1","kind":"instance","address":"127.0.0.1:1","dataCentre":"limani","state":"live"}]`
	c.expect(200, "PUT", "/standin/targets", listed)
	require.Equal(t, "[]", list())
	require.Eventually(t, func() bool { return list() == listed }, 5*time.Second, 5*time.Millisecond)
}
