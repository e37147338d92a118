package peers_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"turmericpulley/core/fault"
	"turmericpulley/core/fleet"
	"turmericpulley/core/types"
	"turmericpulley/io/peers"
)

// stop closes a service. Unless it has left before, the others see this as a crash.
func (c *cluster) stop(index int) {
	c.services[index].Close()
	c.services = append(c.services[:index:index], c.services[index+1:]...)
}

func (c *cluster) total(count func(*peers.Counters) uint64) uint64 {
	total := uint64(0)
	for _, s := range c.services {
		total += count(s.Counters())
	}
	return total
}

// setOneWayPartition sets whether connections from one instance to the other are refused, and closes the open ones.
func (c *cluster) setOneWayPartition(from, to *peers.Service, partitioned bool) {
	c.proxy(from.Self().ID, to.Self().PeerAddress).setRefusing(partitioned)
}

// setIsolated sets whether all connections between the instance and the others are refused.
func (c *cluster) setIsolated(cutOff *peers.Service, partitioned bool) {
	for _, other := range c.services {
		if other != cutOff {
			c.setOneWayPartition(cutOff, other, partitioned)
			c.setOneWayPartition(other, cutOff, partitioned)
		}
	}
}

func removalCount(c *peers.Counters) uint64 { return c.Removals.Load() }

func isolated(s *peers.Service) bool {
	f := fault.From(s.CheckFreshness())
	return f != nil && f.Kind == fault.Isolated
}

func TestCrashedInstancesAreRemoved(t *testing.T) {
	c := newCluster(t, 6)
	before := c.store.writeCount()
	started := time.Now()
	c.stop(5)
	c.stop(2)
	c.waitForSize(4)
	t.Logf("removed after %s with %d writes", time.Since(started), c.store.writeCount()-before)
	require.Less(t, time.Since(started), 4*time.Second)
	require.LessOrEqual(t, c.store.writeCount()-before, 2)
}

func TestLastInstanceRemovesTheCrashedOther(t *testing.T) {
	c := newCluster(t, 2)
	c.stop(0)
	c.waitForSize(1)
}

func TestLeavingInstanceIsMarkedAndRemovedOnClose(t *testing.T) {
	c := newCluster(t, 4)
	leaving := c.services[1]
	ctx, cancel := context.WithTimeout(t.Context(), eventuallyTimeout)
	defer cancel()
	require.NoError(t, leaving.Leave(ctx))
	require.Len(t, leaving.Membership().Live(), 3, "the leaving instance knows at once")
	for _, s := range c.services {
		require.Eventually(t, func() bool { return len(s.Membership().Live()) == 3 }, eventuallyTimeout, pollInterval)
		require.Len(t, s.Membership().Instances, 4)
	}
	c.stop(1)
	value, revision, _, err := c.store.Get(t.Context(), "instances/region")
	require.NoError(t, err)
	members, err := fleet.DecodeMembership(value, revision)
	require.NoError(t, err)
	require.Len(t, members.Instances, 3, "it removed itself before it closed")
	c.waitForSize(3)
}

func TestOneWayPartitionDoesNotRemoveAHealthyInstance(t *testing.T) {
	c := newCluster(t, 5)
	from, to := c.services[0], c.services[1]
	c.setOneWayPartition(from, to, true)
	require.Eventually(t, func() bool { return from.Suspected(to.Self().ID) }, eventuallyTimeout, pollInterval)
	require.False(t, from.Probe(t.Context(), to.Self().ID))
	before := c.store.writeCount()
	time.Sleep(4 * time.Second)
	require.Equal(t, before, c.store.writeCount())
	require.Zero(t, c.total(removalCount))
	c.setOneWayPartition(from, to, false)
	require.Eventually(t, func() bool { return !from.Suspected(to.Self().ID) }, eventuallyTimeout, pollInterval)
}

func TestIsolatedInstanceIsRemovedAndRejoins(t *testing.T) {
	c := newCluster(t, 5)
	cutOff := c.services[3]
	old := cutOff.Self().Incarnation
	c.setIsolated(cutOff, true)
	require.Eventually(t, func() bool { return len(c.services[0].Membership().Instances) == 4 }, eventuallyTimeout, pollInterval)
	require.False(t, isolated(c.services[0]))
	c.setIsolated(cutOff, false)
	c.waitForSize(5)
	require.Less(t, old, cutOff.Self().Incarnation, "joined again as a new incarnation")
}

func TestStoreOutageKeepsDocumentsFreshAndCallsBounded(t *testing.T) {
	c := newCluster(t, 6)
	revision := c.putContract(contractJSON(4))
	require.Eventually(t, func() bool { return c.inForceEverywhere(revision) }, eventuallyTimeout, pollInterval)
	c.store.setDown(true)
	c.store.resetCalls()
	c.stop(5)
	time.Sleep(5 * time.Second)
	for _, s := range c.services {
		require.NoError(t, s.CheckFreshness(), "instances in contact with a majority stay fresh")
		require.Len(t, s.Membership().Instances, 6)
	}
	during := c.store.resetCalls()
	c.store.setDown(false)
	c.waitForSize(5)
	time.Sleep(time.Second)
	after := c.store.resetCalls()
	t.Logf("calls in 5 s of outage: %d, after it: %d", during, after)
	// Two store watchers in each of two data centres watch three prefixes. A watch may pause for less than half a
	// second after each of its first four failed calls, and pauses at least that long after later ones.
	require.Less(t, during, 2*2*3*(4+10))
	require.Less(t, after, 60)
}

func TestInstanceWithoutStoreAndPeersBecomesIsolated(t *testing.T) {
	c := newCluster(t, 5)
	c.store.setDown(true)
	cutOff := c.services[0]
	c.setIsolated(cutOff, true)
	started := time.Now()
	require.Eventually(t, func() bool { return isolated(cutOff) }, eventuallyTimeout, pollInterval)
	t.Logf("isolated after %s", time.Since(started))
	require.Less(t, time.Since(started), 2200*time.Millisecond)
	for _, s := range c.services[1:] {
		require.NoError(t, s.CheckFreshness())
	}
	c.store.setDown(false)
	c.setIsolated(cutOff, false)
	c.waitForSize(5)
}

func TestJoinSucceedsWhenTheResponseToItsWriteIsLost(t *testing.T) {
	c := newCluster(t, 3)
	c.store.mu.Lock()
	c.store.responsesToLose = 1
	c.store.mu.Unlock()
	c.start(3)
	c.waitForSize(4)
}

func TestRestartWithTheSameIDReplacesTheOldIncarnation(t *testing.T) {
	c := newCluster(t, 3)
	old := c.services[1].Self().Incarnation
	c.stop(1)
	time.Sleep(5 * time.Millisecond)
	c.start(1)
	require.Eventually(t, func() bool {
		found, _ := c.services[0].Membership().Find("i01")
		return found.Incarnation > old
	}, eventuallyTimeout, pollInterval)
	c.waitForSize(3)
}

func TestNewInstancesReplaceAFleetThatCrashedAsAWhole(t *testing.T) {
	c := newCluster(t, 4)
	for range 4 {
		c.stop(0)
	}
	for index := 10; index < 13; index++ {
		c.start(index)
	}
	c.waitForSize(3)
}

func (c *cluster) inForceEverywhere(revision types.Revision) bool {
	for _, s := range c.services {
		if !s.Documents().InForce(contractKey, revision) {
			return false
		}
	}
	return true
}

func TestManyJoinsAreWrittenTogether(t *testing.T) {
	const members, joins = 5, 15
	c := newCluster(t, members)
	before := c.store.writeCount()
	starting := sync.WaitGroup{}
	for index := members; index < members+joins; index++ {
		starting.Go(func() { c.start(index) })
	}
	starting.Wait()
	c.waitForSize(members + joins)
	written := c.store.writeCount() - before
	t.Logf("%d joins took %d writes", joins, written)
	require.LessOrEqual(t, written, joins/3)
}

func TestUnresponsiveSessionIsReplacedWhenNewOnesWork(t *testing.T) {
	c := newCluster(t, 3)
	from, to := c.services[0], c.services[1]
	replaced := from.Counters().SessionsReplaced.Load()
	p := c.proxy(from.Self().ID, to.Self().PeerAddress)
	require.Eventually(t, p.inUse, eventuallyTimeout, pollInterval)
	p.dropTraffic()
	started := time.Now()
	require.Eventually(t, func() bool { return from.Counters().SessionsReplaced.Load() > replaced }, eventuallyTimeout, pollInterval)
	t.Logf("replaced after %s", time.Since(started))
	require.Less(t, time.Since(started), 3*time.Second)
	require.False(t, from.Suspected(to.Self().ID))
	require.Zero(t, c.total(removalCount))
}

func TestCrashedStoreWatchersAreReplaced(t *testing.T) {
	c := newCluster(t, 7)
	for _, dataCentre := range []types.DataCentre{"dc-0", "dc-1"} {
		for _, watcher := range c.services[0].Membership().StoreWatchers(dataCentre) {
			c.stopID(watcher.ID)
		}
	}
	c.waitForSize(3)
	revision := c.putContract(contractJSON(9))
	require.Eventually(t, func() bool { return c.inForceEverywhere(revision) }, eventuallyTimeout, pollInterval)
	for _, s := range c.services {
		require.NoError(t, s.CheckFreshness())
	}
}

func (c *cluster) stopID(id types.InstanceID) {
	for index, s := range c.services {
		if s.Self().ID == id {
			c.stop(index)
			return
		}
	}
}

// TestFreshInstancesUseTheAcceptedContract changes a contract while an instance is cut off from its peers, once without
// and once with access to the store. Three seconds later an instance that holds an older version must not report fresh
// documents, because it would accept work under the old contract.
func TestFreshInstancesUseTheAcceptedContract(t *testing.T) {
	c := newCluster(t, 5)
	accepted := map[types.Revision]time.Time{}
	for index, cutOff := range c.services[:2] {
		c.setIsolated(cutOff, true)
		c.storeAccess[cutOff.Self().ID].interrupted.Store(index == 0)
		accepted[c.putContract(contractJSON(index+1))] = time.Now()
		for range 100 {
			time.Sleep(50 * time.Millisecond)
			c.requireCurrentContract(accepted)
		}
		c.setIsolated(cutOff, false)
		c.storeAccess[cutOff.Self().ID].interrupted.Store(false)
		c.waitForSize(5)
	}
}

func (c *cluster) requireCurrentContract(accepted map[types.Revision]time.Time) {
	c.t.Helper()
	for _, s := range c.services {
		now := time.Now()
		fresh := s.CheckFreshness() == nil
		_, held, _ := s.Documents().Contract("desk")
		for revision, at := range accepted {
			if fresh && now.Sub(at) > 3*time.Second {
				require.GreaterOrEqual(c.t, held, revision, "%s", s.Self().ID)
			}
		}
	}
}
