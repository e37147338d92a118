package peers_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"turmericpulley/core/fleet"
	"turmericpulley/core/relay"
	"turmericpulley/core/types"
	"turmericpulley/io/peers"
)

const (
	contractKey       = relay.ContractPrefix + "desk"
	eventuallyTimeout = 5 * time.Second
	pollInterval      = 10 * time.Millisecond
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// route identifies the connections from an instance to an address.
type route struct {
	from types.InstanceID
	to   string
}

// cluster runs several services in one process, connected through proxies.
type cluster struct {
	t           *testing.T
	store       *memoryStore
	services    []*peers.Service
	storeAccess map[types.InstanceID]*interruptibleStore

	mu sync.Mutex
	// proxies holds the proxy of each route.
	proxies map[route]*proxy
}

func newCluster(t *testing.T, size int) *cluster {
	t.Helper()
	c := &cluster{t: t, store: newMemoryStore(), proxies: map[route]*proxy{}, storeAccess: map[types.InstanceID]*interruptibleStore{}}
	t.Cleanup(func() {
		closing := sync.WaitGroup{}
		for _, s := range c.services {
			closing.Go(s.Close)
		}
		closing.Wait()
		for _, h := range c.proxies {
			h.close()
		}
	})
	for index := range size {
		c.start(index)
	}
	c.waitForSize(size)
	return c
}

// start adds a service. Those with an odd index are in the second data centre.
func (c *cluster) start(index int) {
	c.t.Helper()
	self := fleet.Instance{
		ID:          types.InstanceID(fmt.Sprintf("i%02d", index)),
		PeerAddress: "127.0.0.1:0",
		DataCentre:  types.DataCentre(fmt.Sprintf("dc-%d", index%2)),
	}
	access := &interruptibleStore{store: c.store}
	s, err := peers.New(peers.Settings{
		Self: self, Region: "region", Store: access,
		DialAddress: func(address string) string { return c.proxy(self.ID, address).address() },
	})
	require.NoError(c.t, err)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.storeAccess[self.ID] = access
	c.services = append(c.services, s)
}

// waitForSize waits until every service knows exactly this number of live instances and has fresh documents.
func (c *cluster) waitForSize(size int) {
	c.t.Helper()
	require.Eventually(c.t, func() bool {
		for _, s := range c.services {
			if len(s.Membership().Live()) != size || s.CheckFreshness() != nil {
				return false
			}
		}
		return true
	}, 2*eventuallyTimeout, pollInterval)
}

// proxy returns the proxy for the connections from the instance to the address.
func (c *cluster) proxy(from types.InstanceID, to string) *proxy {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := route{from, to}
	if c.proxies[key] == nil {
		c.proxies[key] = newProxy(c.t, to)
	}
	return c.proxies[key]
}

func (c *cluster) putContract(value string) types.Revision {
	c.t.Helper()
	_, before, _, err := c.store.Get(c.t.Context(), contractKey)
	require.NoError(c.t, err)
	revision, err := c.store.Put(c.t.Context(), contractKey, []byte(value), before)
	require.NoError(c.t, err)
	return revision
}

func contractJSON(connections int) string {
	return fmt.Sprintf(`{"customer":"desk","connections":%d}`, connections)
}

func TestInstancesJoinAndReceiveDocuments(t *testing.T) {
	c := newCluster(t, 5)
	started := time.Now()
	revision := c.putContract(contractJSON(3))
	for _, s := range c.services {
		require.Eventually(t, func() bool {
			held, at, found := s.Documents().Contract("desk")
			return found && at == revision && held.Connections == 3
		}, eventuallyTimeout, pollInterval)
	}
	t.Logf("in force everywhere after %s", time.Since(started))
	status := c.services[0].DocumentStatus(t.Context(), contractKey, revision)
	require.Len(t, status.InForce, 5)
	require.Empty(t, status.Missing)
	for _, s := range c.services {
		require.False(t, strings.Contains(fmt.Sprint(s.Membership().Instances), "leaving"))
	}
}
