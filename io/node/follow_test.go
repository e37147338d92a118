package node_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"turmericpulley/core/fleet"
	"turmericpulley/io/fakepl"
)

// newDataCentre starts instances of one data centre, and waits until the store has all of them.
func newDataCentre(tb testing.TB, site *fakepl.Site, count int) []*testInstance {
	tb.Helper()
	instances := make([]*testInstance, 0, count)
	for i := range count {
		instances = append(instances, startInstance(tb, site, fmt.Sprintf("frontend-%d", i)))
	}
	tb.Cleanup(func() {
		var stopping sync.WaitGroup
		for _, i := range instances {
			stopping.Go(i.stop)
		}
		stopping.Wait()
	})
	for _, i := range instances {
		awaitWrite(tb, i.callers)
	}
	time.Sleep(discoveryTime)
	return instances
}

const (
	// discoveryTime is how long after the start instances have found their readers.
	discoveryTime = 3 * time.Second
	// configurationDeadline is the time in which a change of the configuration must be in force.
	configurationDeadline = 3 * time.Second
)

func TestADataCentreOfManyInstancesAsksTheStoreLittle(t *testing.T) {
	site, err := fakepl.NewSite(0)
	require.NoError(t, err)
	defer site.Close()
	site.Configure(1, 1000)
	newDataCentre(t, site, 20)
	before := site.Store.Calls()
	const span = 3 * time.Second
	time.Sleep(span)
	calls := float64(site.Store.Calls()-before) / span.Seconds()
	// Two readers make 1.4 watches a second each, the owner 1.7 readings and its deputy 0.7. Without readers the watches of 20
	// instances alone are 8 a second.
	require.Less(t, calls, 7.0)
	t.Logf("%.1f calls a second", calls)
}

func TestAChangeReachesFollowersWhateverBecomesOfTheirReaders(t *testing.T) {
	for name, harm := range map[string]func(readers, all []*testInstance){
		"nothing":                        func(_, _ []*testInstance) {},
		"a reader stops":                 func(readers, _ []*testInstance) { readers[0].stop() },
		"a reader is cut from the store": func(readers, _ []*testInstance) { readers[0].disconnected.Store(true) },
		"both are cut from the store": func(readers, _ []*testInstance) {
			readers[0].disconnected.Store(true)
			readers[1].disconnected.Store(true)
		},
		"all but one follower are cut": func(_, all []*testInstance) { disconnectAllBut(all, 1) },
		"all are cut and reach it again": func(_, all []*testInstance) {
			disconnectAllBut(all, 0)
			time.AfterFunc(time.Second, func() { reconnectAll(all) })
		},
	} {
		t.Run(name, func(t *testing.T) {
			site, err := fakepl.NewSite(0)
			require.NoError(t, err)
			defer site.Close()
			site.Configure(1, 1000)
			all := newDataCentre(t, site, 11)
			readers := readersOf(all)
			harm(readers, all)
			site.Configure(2, 1000, "late")
			bound := configurationDeadline
			if name == "all are cut and reach it again" {
				bound += time.Second
			}
			changed := time.Now()
			for _, i := range all {
				if i.stopped || i.disconnected.Load() {
					continue
				}
				require.Eventually(t, func() bool { return fakepl.Opens(i.callers, "late") }, time.Until(changed.Add(bound)), 10*time.Millisecond,
					"%s after %s", i.callers, time.Since(changed))
			}
		})
	}
}

// TestAConfigurationTooLargeToPassOnIsReadFromTheStore gives followers a version that their readers do not pass on: each reads
// it from the store itself. Until it has, its reader answers its questions at once, and it used to repeat them without a pause
// (5,822 questions of 9 followers in 0.36 s).
func TestAConfigurationTooLargeToPassOnIsReadFromTheStore(t *testing.T) {
	site, err := fakepl.NewSite(0)
	require.NoError(t, err)
	defer site.Close()
	all := newDataCentre(t, site, 11)
	names := make([]string, 600)
	for i := range names {
		names[i] = fmt.Sprintf("large%d", i)
	}
	before := countPeerReads(all)
	site.Configure(2, 1000, names...)
	changed := time.Now()
	for _, i := range all {
		require.Eventually(t, func() bool { return fakepl.Opens(i.callers, "large599") }, time.Until(changed.Add(configurationDeadline)), 10*time.Millisecond,
			"%s after %s", i.callers, time.Since(changed))
	}
	asked, span := countPeerReads(all)-before, time.Since(changed)
	t.Logf("%d questions in %s", asked, span)
	// A pause of 100 ms lets ten questions a second of each instance through; ten more belong to opening and watching.
	require.Less(t, asked, int64(len(all))*(10+10*span.Milliseconds()/1000), "in %s", span)
}

// countPeerReads returns how often the instances have heard of each other.
func countPeerReads(all []*testInstance) int64 {
	sum := int64(0)
	for _, i := range all {
		sum += i.peerReads.Load()
	}
	return sum
}

// readersOf returns the two instances that follow the store for the others.
func readersOf(all []*testInstance) []*testInstance {
	var members fleet.Membership
	for _, i := range all {
		members.Instances = append(members.Instances, fleet.Instance{ID: i.id, DataCentre: "z1", State: fleet.Live})
	}
	var readers []*testInstance
	for _, r := range members.StoreReaders("z1") {
		for _, i := range all {
			if i.id == r.ID {
				readers = append(readers, i)
			}
		}
	}
	return readers
}

func disconnectAllBut(all []*testInstance, spared int) {
	for _, i := range all[:len(all)-spared] {
		i.disconnected.Store(true)
	}
}

func reconnectAll(all []*testInstance) {
	for _, i := range all {
		i.disconnected.Store(false)
	}
}
