package peers_test

import (
	"fmt"
	"net"
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
	contractKey = relay.ContractPrefix + "desk"
	soon        = 5 * time.Second
	often       = 10 * time.Millisecond
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// cluster runs several services in one process.
type cluster struct {
	t        *testing.T
	store    *memoryStore
	services []*peers.Service

	mu sync.Mutex
	// cut holds pairs of instances, the dialling one first, whose connections fail.
	cut map[string]bool
}

func newCluster(t *testing.T, size int) *cluster {
	t.Helper()
	c := &cluster{t: t, store: newMemoryStore(), cut: map[string]bool{}}
	t.Cleanup(func() {
		closing := sync.WaitGroup{}
		for _, s := range c.services {
			closing.Go(s.Close)
		}
		closing.Wait()
	})
	for index := range size {
		c.start(index)
	}
	c.settled(size)
	return c
}

// start adds a service; odd ones are in the second data centre.
func (c *cluster) start(index int) *peers.Service {
	c.t.Helper()
	self := fleet.Instance{
		ID:          types.InstanceID(fmt.Sprintf("i%02d", index)),
		PeerAddress: freeAddress(c.t),
		DataCentre:  types.DataCentre(fmt.Sprintf("dc-%d", index%2)),
	}
	s, err := peers.New(peers.Settings{
		Self: self, Region: "region", Store: c.store,
		Links: func(address string) string { return c.dialled(self.PeerAddress, address) },
	})
	require.NoError(c.t, err)
	c.services = append(c.services, s)
	return s
}

// settled waits until every service knows exactly the size and is fresh.
func (c *cluster) settled(size int) {
	c.t.Helper()
	require.Eventually(c.t, func() bool {
		for _, s := range c.services {
			if len(s.Membership().Live()) != size || s.Fresh() != nil {
				return false
			}
		}
		return true
	}, 2*soon, often)
}

// dialled returns an address that refuses connections when the pair is cut.
func (c *cluster) dialled(from, to string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cut[from+to] {
		return "127.0.0.1:1"
	}
	return to
}

func (c *cluster) put(key, value string) types.Revision {
	c.t.Helper()
	_, before, _, err := c.store.Get(c.t.Context(), key)
	require.NoError(c.t, err)
	revision, err := c.store.Put(c.t.Context(), key, []byte(value), before)
	require.NoError(c.t, err)
	return revision
}

func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

func contract(connections int) string {
	return fmt.Sprintf(`{"customer":"desk","connections":%d}`, connections)
}

func TestInstancesJoinAndHoldDocuments(t *testing.T) {
	c := newCluster(t, 5)
	started := time.Now()
	revision := c.put(contractKey, contract(3))
	for _, s := range c.services {
		require.Eventually(t, func() bool {
			held, at, found := s.Book().Contract("desk")
			return found && at == revision && held.Connections == 3
		}, soon, often)
	}
	t.Logf("in force everywhere after %s", time.Since(started))
	status := c.services[0].DocumentStatus(t.Context(), contractKey, revision)
	require.Len(t, status.InForce, 5)
	require.Empty(t, status.Missing)
	for _, s := range c.services {
		require.False(t, strings.Contains(fmt.Sprint(s.Membership().Instances), "leaving"))
	}
}
