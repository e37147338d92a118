package node_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"turmericpulley/core/hold"
	"turmericpulley/io/fakepl"
)

const (
	// drainLimit is the time from its notice for which a leaving member may be used.
	drainLimit = 7 * time.Second
	// entriesAge is how old an owner's read of the members' entries is at most, and standbyTime exceeds the time between two calls of a
	// standby to the store.
	entriesAge  = 2200 * time.Millisecond
	standbyTime = 2 * time.Second
)

// TestLeavingPrimaryIsNotUsedForLongWhenItsReplacementFails lets the primary announce that it leaves while the platform refuses every
// promotion. The primary serves on, but not for longer than a leaving member may be used; afterwards it gets no statements.
func TestLeavingPrimaryIsNotUsedForLongWhenItsReplacementFails(t *testing.T) {
	site, err := fakepl.NewPlatform(0)
	require.NoError(t, err)
	defer site.Close()
	site.Configure(1, 300)
	instance := startInstance(t, site, "n1")
	awaitWrite(t, instance.callers)
	time.Sleep(discoveryTime)
	promote := site.Store.Promote
	site.Store.Promote = func(string, uint64, string, string) int { return http.StatusConflict }
	site.Group.Member("i-1").Drain()
	announced := time.Now()
	var lastServed time.Time
	for time.Since(announced) < drainLimit+time.Second {
		if fakepl.StatementSucceeds(instance.callers, "primary", "WRITE a 1") {
			lastServed = time.Now()
		}
	}
	t.Logf("served last %s after the notice", lastServed.Sub(announced))
	require.Greater(t, lastServed.Sub(announced), 2*time.Second)
	require.Less(t, lastServed.Sub(announced), drainLimit)
	site.Store.Promote = promote
	awaitWrite(t, instance.callers)
	require.NotEqual(t, "i-1", site.Group.Primary())
}

// TestNewOwnerDoesNotUseAPrimaryWhoseNoticeMayBeTooOld lets an instance become the owner 6 s after the primary has announced that it
// leaves, while promotions have to wait for former owners. It finds a notice of which it has not seen the beginning.
func TestNewOwnerDoesNotUseAPrimaryWhoseNoticeMayBeTooOld(t *testing.T) {
	site, err := fakepl.NewPlatform(0)
	require.NoError(t, err)
	defer site.Close()
	site.Configure(1, 300)
	delayPromotions(t, site)
	site.Store.RefuseWrites(true)
	instance := startInstance(t, site, "n1")
	site.Group.Member("i-1").Drain()
	announced := time.Now()
	time.AfterFunc(drainLimit-time.Second, func() { site.Store.RefuseWrites(false) })
	last := lastServed(instance.callers, announced.Add(drainLimit+3*time.Second))
	t.Logf("served last %s after the notice", last.Sub(announced))
	require.Equal(t, "n1", ownerOf(site))
	require.Less(t, last.Sub(announced), drainLimit)
}

// TestNextOwnerUsesALeavingPrimaryAsLongAsTheFormerOne hands a database over when its primary has just announced that it leaves, while
// promotions have to wait for former owners. The next owner learns from the former one at which revision the member stayed.
func TestNextOwnerUsesALeavingPrimaryAsLongAsTheFormerOne(t *testing.T) {
	site, err := fakepl.NewPlatform(0)
	require.NoError(t, err)
	defer site.Close()
	site.Configure(1, 300)
	delayPromotions(t, site)
	owner := startInstance(t, site, "n1")
	awaitWrite(t, owner.callers)
	next := startInstance(t, site, "n2")
	awaitWrite(t, next.callers)
	require.Eventually(t, func() bool { return standbyOf(site) == "n2" }, discoveryTime, 10*time.Millisecond)
	time.Sleep(standbyTime)
	require.Equal(t, "n1", ownerOf(site))
	site.Group.Member("i-1").Drain()
	announced := time.Now()
	owner.stop()
	last := lastServed(next.callers, announced.Add(drainLimit+time.Second))
	t.Logf("served last %s after the notice", last.Sub(announced))
	require.Equal(t, "n2", ownerOf(site))
	require.Greater(t, last.Sub(announced), drainLimit-entriesAge-standbyTime)
	require.Less(t, last.Sub(announced), drainLimit)
}

// TestLeavingPrimaryServesWithoutPauseWhileItsReplacementIsDelayed lets the primary announce that it leaves while promotions have to
// wait for former owners.
func TestLeavingPrimaryServesWithoutPauseWhileItsReplacementIsDelayed(t *testing.T) {
	site, err := fakepl.NewPlatform(0)
	require.NoError(t, err)
	defer site.Close()
	site.Configure(1, 300)
	delayPromotions(t, site)
	instance := startInstance(t, site, "n1")
	awaitWrite(t, instance.callers)
	site.Group.Member("i-1").Drain()
	announced := time.Now()
	refused := 0
	for time.Since(announced) < drainLimit-entriesAge-time.Second {
		if !fakepl.StatementSucceeds(instance.callers, "primary", "WRITE a 1") {
			refused++
		}
	}
	require.Zero(t, refused)
}

// delayPromotions stores the record of a dead owner that lacks some former ones, so that the next owner waits until their leases have
// ended before it promotes a member.
func delayPromotions(tb testing.TB, site *fakepl.Platform) {
	tb.Helper()
	record := hold.Record{Owner: hold.Owner{Instance: "dead", Incarnation: 1}, FormerOmitted: true}
	value, err := record.Encode()
	require.NoError(tb, err)
	site.Store.Put("turmericpulley/owners/db1", value)
}

// lastServed writes over the instance at the address until the end and returns when the last write was served.
func lastServed(address string, end time.Time) time.Time {
	var last time.Time
	for time.Now().Before(end) {
		if fakepl.StatementSucceeds(address, "primary", "WRITE a 1") {
			last = time.Now()
		}
	}
	return last
}
