package node_test

import (
	"bytes"
	"encoding/base64"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"turmericpulley/io/fakepl"
)

// Keys of the accounts. warmKey is that with which instances are awaited.
const (
	keptKey      = "kept-0cf2a9"
	withdrawnKey = "withdrawn-77b1e4"
	warmKey      = fakepl.UserKey
)

// before and after are the accounts before and after the withdrawal of withdrawnKey.
var (
	before = []fakepl.Tenant{{Name: "base", Keys: []string{warmKey}}, {Name: "anna", Keys: []string{keptKey, withdrawnKey}}}
	after  = []fakepl.Tenant{{Name: "base", Keys: []string{warmKey}}, {Name: "anna", Keys: []string{keptKey}}}
)

// newSite starts a platform with accounts that withdraws keys strictly.
func newSite(t *testing.T) *fakepl.Platform {
	t.Helper()
	site, err := fakepl.NewPlatform(0)
	require.NoError(t, err)
	t.Cleanup(site.Close)
	site.Tenants, site.StrictRevoke = before, true
	site.Configure(2, 1000)
	return site
}

// keyedClients call each instance with a key without end.
type keyedClients struct {
	goroutines sync.WaitGroup
	stopped    chan struct{}

	mu       sync.Mutex
	requests []fakepl.Request
	// served is when each instance last served a request.
	served map[*testInstance]time.Time
	// refused is how each instance last failed to serve one.
	refused map[*testInstance]string
}

// dataCentreSize is the number of instances of a data centre that has store readers and followers.
const dataCentreSize = 10

// clientPause is the time between two requests of a client.
const clientPause = 20 * time.Millisecond

func newKeyedClients(all []*testInstance, key string) *keyedClients {
	c := &keyedClients{stopped: make(chan struct{}), served: map[*testInstance]time.Time{}, refused: map[*testInstance]string{}}
	for _, i := range all {
		c.goroutines.Go(func() {
			for c.goOn() {
				s, err := fakepl.DialAs(i.callers, "primary", key)
				if err != nil {
					c.refuse(i, err.Error())
					continue
				}
				s.Observe = func(q fakepl.Request) { c.record(i, q) }
				for c.goOn() {
					if a, err := s.Query("WRITE k 1"); err != nil || a.Code != "" {
						c.refuse(i, fmt.Sprint(a.Code, a.Text, err))
						break
					}
				}
				s.Close()
			}
		})
	}
	return c
}

func (c *keyedClients) goOn() bool {
	select {
	case <-c.stopped:
		return false
	case <-time.After(clientPause):
		return true
	}
}

func (c *keyedClients) record(i *testInstance, q fakepl.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests = append(c.requests, q)
	if q.Err == nil && q.Response.Code == "" {
		c.served[i] = time.Now()
	}
}

func (c *keyedClients) refuse(i *testInstance, reason string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refused[i] = time.Now().Format(time.StampMilli) + " " + reason
}

// lastRefusal says when and how the instance last failed to serve a request.
func (c *keyedClients) lastRefusal(i *testInstance) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.refused[i]
}

func (c *keyedClients) lastServed(i *testInstance) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.served[i]
}

// stop ends the clients and returns their requests.
func (c *keyedClients) stop() []fakepl.Request {
	close(c.stopped)
	c.goroutines.Wait()
	return c.requests
}

// TestWithdrawnKeyEndsEverywhere withdraws a key while one thing fails, and has clients use it at every instance until well after the limit.
// No member may run what was sent too late.
func TestWithdrawnKeyEndsEverywhere(t *testing.T) {
	for _, c := range []struct {
		name string
		fail func(site *fakepl.Platform, readers, all []*testInstance)
		// kept says whether the key that was not withdrawn must be served everywhere at the end.
		kept bool
	}{
		{"nothing fails", func(*fakepl.Platform, []*testInstance, []*testInstance) {}, true},
		{"the store refuses the store readers", func(_ *fakepl.Platform, readers, _ []*testInstance) {
			readers[0].refused.Store(true)
			readers[1].refused.Store(true)
		}, true},
		{"the store readers lose the store, also through others", func(_ *fakepl.Platform, readers, _ []*testInstance) {
			readers[0].disconnected.Store(true)
			readers[1].disconnected.Store(true)
		}, false},
		{"all but one lose the store", func(_ *fakepl.Platform, _, all []*testInstance) { disconnectAllBut(all, 1) }, false},
		{"the store refuses all but two", func(_ *fakepl.Platform, _, all []*testInstance) {
			for _, i := range all[2:] {
				i.refused.Store(true)
			}
		}, true},
		{"the store refuses all but one store reader", func(_ *fakepl.Platform, readers, all []*testInstance) {
			for _, i := range all {
				i.refused.Store(i != readers[1])
			}
		}, true},
		{"the store is silent for all", func(_ *fakepl.Platform, _, all []*testInstance) { disconnectAllBut(all, 0) }, false},
		{"a store reader hears nothing from the others", func(_ *fakepl.Platform, readers, _ []*testInstance) {
			readers[0].peers.silent.Store(true)
		}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			site := newSite(t)
			all := newDataCentre(t, site, dataCentreSize)
			clients, others := newKeyedClients(all, withdrawnKey), newKeyedClients(all, keptKey)
			time.Sleep(time.Second)
			for _, i := range all {
				require.WithinDuration(t, time.Now(), clients.lastServed(i), time.Second, "%s serves the key before; last refused %q", i.id, clients.lastRefusal(i))
			}
			c.fail(site, readersOf(all), all)
			site.Tenants = after
			site.Configure(3, 1000)
			time.Sleep(fakepl.RevokeLimit + 2*time.Second)
			end := time.Now()
			breaches := site.TenantBreaches(append(clients.stop(), others.stop()...))
			require.Empty(t, breaches)
			for _, i := range all {
				if c.kept {
					require.WithinDuration(t, end, others.lastServed(i), 2*time.Second, "%s serves the other key; last refused %q", i.id, others.lastRefusal(i))
				}
			}
		})
	}
}

// TestServiceIsBackSoonAfterTheProof has the store refuse all calls until no instance can prove its keys. Then nothing may run, no instance
// may be ready, and no refusal may be NOAUTH. When the store is back, the proofs must be, as soon as changes of the configuration must be in
// force, and each instance must serve within a second of its proof.
func TestServiceIsBackSoonAfterTheProof(t *testing.T) {
	t.Parallel()
	const backWithin = time.Second
	site := newSite(t)
	all := newDataCentre(t, site, dataCentreSize)
	clients := newKeyedClients(all, keptKey)
	site.Store.ForceStatus(http.StatusServiceUnavailable)
	gone := time.Now()
	for _, i := range all {
		require.Eventually(t, func() bool { return !i.Ready() }, fakepl.RevokeLimit, 10*time.Millisecond)
	}
	time.Sleep(time.Until(gone.Add(fakepl.RevokeLimit)))
	for _, i := range all {
		_, err := fakepl.DialAs(i.callers, "primary", keptKey)
		require.ErrorContains(t, err, "BUSY")
	}
	require.Greater(t, time.Since(gone), fakepl.RevokeLimit)
	for _, i := range all {
		require.Less(t, clients.lastServed(i).Sub(gone), fakepl.RevokeLimit)
	}
	site.Store.ForceStatus(0)
	back := time.Now()
	proved := map[*testInstance]time.Time{}
	require.Eventually(t, func() bool {
		for _, i := range all {
			if _, known := proved[i]; !known && i.Ready() {
				proved[i] = time.Now()
			}
		}
		return len(proved) == len(all)
	}, configurationDeadline, 5*time.Millisecond)
	for _, i := range all {
		require.Eventually(t, func() bool { return clients.lastServed(i).After(back) }, time.Until(proved[i].Add(backWithin)), 5*time.Millisecond, "%s", i.id)
		t.Logf("%s: proof back after %s", i.id, proved[i].Sub(back))
	}
	for _, q := range clients.stop() {
		require.NotEqual(t, "NOAUTH", q.Response.Code)
	}
}

// TestUnreadableConfigurationProvesNothing replaces the configuration by one that cannot be parsed, which may have withdrawn any key.
func TestUnreadableConfigurationProvesNothing(t *testing.T) {
	t.Parallel()
	site := newSite(t)
	all := newDataCentre(t, site, 3)
	site.Store.Put("op/config", []byte("not JSON"))
	time.Sleep(fakepl.RevokeLimit)
	for _, i := range all {
		_, err := fakepl.DialAs(i.callers, "primary", keptKey)
		require.ErrorContains(t, err, "BUSY")
	}
	site.Configure(3, 1000)
	for _, i := range all {
		require.Eventually(t, func() bool { return fakepl.SessionOpens(i.callers, "primary") }, configurationDeadline, 10*time.Millisecond)
	}
}

// TestRestoredStoreBringsNoKeyBack restores the store to a copy from before the withdrawal, which nobody writes again, while the instances know
// of the withdrawal; one was cut off meanwhile. The key must not run, and is not served even by the one that reads the old copy first.
func TestRestoredStoreBringsNoKeyBack(t *testing.T) {
	t.Parallel()
	site := newSite(t)
	all := newDataCentre(t, site, 5)
	late := all[4]
	copied := site.Store.Copy()
	late.disconnected.Store(true)
	late.peers.silent.Store(true)
	site.Tenants = after
	site.Configure(3, 1000)
	withdrawn := time.Now()
	for _, i := range all[:4] {
		require.Eventually(t, func() bool { return !sessionOpensAs(i, withdrawnKey) }, configurationDeadline, 10*time.Millisecond)
	}
	clients := newKeyedClients(all, withdrawnKey)
	site.Store.Restore(copied)
	late.disconnected.Store(false)
	late.peers.silent.Store(false)
	time.Sleep(time.Until(withdrawn.Add(fakepl.RevokeLimit + 3*time.Second)))
	require.Empty(t, site.TenantBreaches(clients.stop()))
	for _, i := range all {
		require.False(t, sessionOpensAs(i, withdrawnKey), "%s", i.id)
		_, err := fakepl.DialAs(i.callers, "primary", keptKey)
		require.ErrorContains(t, err, "BUSY", "%s: the old copy may lack more withdrawals than the known one", i.id)
	}
	site.Configure(4, 1000)
	for _, i := range all {
		require.Eventually(t, func() bool { return sessionOpensAs(i, keptKey) }, configurationDeadline, 10*time.Millisecond, "%s", i.id)
	}
}

// TestRefusedInstanceFindsTheOneThatTheStoreServes guards against instances that ask, of a few others drawn anew each time, those that have just
// turned out to be no way to the store: their proof lapses before they find one that is.
func TestRefusedInstanceFindsTheOneThatTheStoreServes(t *testing.T) {
	t.Parallel()
	const count, wait = 7, 6 * time.Second
	site := newSite(t)
	all := newDataCentre(t, site, count)
	for _, i := range all[1:] {
		i.refused.Store(true)
	}
	time.Sleep(wait)
	for _, i := range all {
		_, err := fakepl.DialAs(i.callers, "primary", withdrawnKey)
		require.NoError(t, err, "%s", i.id)
	}
}

func sessionOpensAs(i *testInstance, key string) bool {
	c, err := fakepl.DialAs(i.callers, "primary", key)
	if err == nil {
		c.Close()
	}
	return err == nil
}

// TestKeyLeavesNoInstance has clients use keys, also malformed, at instances of which some reach the store through others only, and looks for the
// keys in all that instances send to one another, log, and write into the store.
func TestKeyLeavesNoInstance(t *testing.T) {
	t.Parallel()
	site := newSite(t)
	all := newDataCentre(t, site, 5)
	clients := newKeyedClients(all, keptKey)
	for _, i := range all[2:] {
		i.refused.Store(true)
	}
	site.Tenants = after
	site.Configure(3, 1000, "more")
	time.Sleep(4 * time.Second)
	for _, i := range all {
		_, err := fakepl.DialAs(i.callers, "primary", withdrawnKey)
		require.ErrorContains(t, err, "NOAUTH")
		require.NotContains(t, err.Error(), withdrawnKey)
	}
	clients.stop()
	values := site.Store.Values("turmericpulley/")
	require.NotEmpty(t, values)
	for _, i := range all {
		i.stop()
	}
	for _, key := range []string{keptKey, withdrawnKey} {
		for name, value := range values {
			require.False(t, holds(value, key), "%s in %s", key, name)
		}
	}
	carried, logged := 0, 0
	for _, i := range all {
		for _, key := range []string{keptKey, withdrawnKey} {
			require.False(t, holds(i.peers.traffic.Bytes(), key), "%s in the traffic of %s", key, i.id)
			require.False(t, holds(i.log.Bytes(), key), "%s in the log of %s", key, i.id)
		}
		if holds(i.peers.traffic.Bytes(), "anna") {
			carried++
		}
		if holds(i.log.Bytes(), "NOAUTH") || bytes.Contains(i.log.Bytes(), []byte("session refused")) {
			logged++
		}
	}
	require.NotZero(t, carried, "the name of the account is found in the traffic, so that a key would be")
	require.Equal(t, len(all), logged)
}

// holds reports whether the data hold the text, as it is or within base64.
func holds(data []byte, text string) bool {
	if bytes.Contains(data, []byte(text)) {
		return true
	}
	for shift := range 3 {
		encoded := base64.StdEncoding.EncodeToString(append(make([]byte, shift), text...))
		// The first and last letters depend on what surrounds the text.
		begin := []int{0, 2, 3}[shift]
		if bytes.Contains(data, []byte(encoded[begin:begin+(len(text)-2)/3*4])) {
			return true
		}
	}
	return false
}
