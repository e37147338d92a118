package node_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"turmericpulley/io/fakepl"
)

// TestOwnerDoesNotReadTheEntriesOfAllMembers guards against owners whose reads grow with the databases of the others. The owner gets the entries
// of its own database all the same: it replaces a primary that leaves, and notices the one that comes back.
func TestOwnerDoesNotReadTheEntriesOfAllMembers(t *testing.T) {
	const count, foreign, window = 11, 400, 6 * time.Second
	site, err := fakepl.NewPlatform(0)
	require.NoError(t, err)
	defer site.Close()
	site.Configure(1, 1000)
	entries := putForeignEntries(site, foreign)
	all := newDataCentre(t, site, count)
	owner := followerThatOwns(t, site, all)
	before := owner.storeBytes.Load()
	site.Group.Member("i-1").Drain()
	time.Sleep(window)
	require.NotEqual(t, "i-1", site.Group.Primary(), "the notice was not read")
	awaitWrite(t, owner.callers)
	require.Less(t, owner.storeBytes.Load()-before, int64(entries), "bytes read in %s by %s", window, owner.id)
}

// TestOwnerDoesNotReadAllEntriesWhileItsReaderReadsThemSlowly guards against fleets that fill the store's link: where a read takes long, all
// followers made it themselves.
func TestOwnerDoesNotReadAllEntriesWhileItsReaderReadsThemSlowly(t *testing.T) {
	const count, foreign, bytesPerSecond, window = 11, 800, 400_000, 6 * time.Second
	site, err := fakepl.NewPlatform(0)
	require.NoError(t, err)
	defer site.Close()
	site.Configure(1, 1000)
	entries := putForeignEntries(site, foreign)
	all := newFleet(t, site, count, place{"z1", bytesPerSecond})
	owner := followerThatOwns(t, site, all)
	before := owner.storeBytes.Load()
	time.Sleep(window)
	awaitWrite(t, owner.callers)
	read := owner.storeBytes.Load() - before
	t.Logf("%d bytes read in %s, the entries have %d", read, window, entries)
	require.Less(t, read, int64(entries), "bytes read in %s by %s", window, owner.id)
}

// TestOwnerReadsOnlyItsOwnRecordsWithoutStoreReaders guards against owners whose renewals grow with the databases of the others. Its readers are
// disconnected from the store.
func TestOwnerReadsOnlyItsOwnRecordsWithoutStoreReaders(t *testing.T) {
	const count, foreign, window = 11, 400, 9 * time.Second
	site, err := fakepl.NewPlatform(0)
	require.NoError(t, err)
	defer site.Close()
	site.Configure(1, 1000)
	all := newDataCentre(t, site, count)
	owner := followerThatOwns(t, site, all)
	records := 0
	for i := range foreign {
		record := fmt.Appendf(nil, `{"instance":"foreign-%d","incarnation":1}`, i)
		site.Store.Put(fmt.Sprintf("turmericpulley/owners/foreign%d", i), record)
		records += len(record)
	}
	for _, i := range all {
		if !i.stopped && i != owner {
			i.disconnected.Store(true)
		}
	}
	before := owner.storeBytes.Load()
	time.Sleep(window)
	read := owner.storeBytes.Load() - before
	t.Logf("%d bytes read in %s, the records have %d", read, window, records)
	awaitWrite(t, owner.callers)
	// The instance reads all records once, as it cannot follow its readers any more.
	require.Less(t, read, int64(8*records), "bytes read in %s by %s", window, owner.id)
}

// putForeignEntries writes as many entries of members of other databases, and returns their size.
func putForeignEntries(site *fakepl.Platform, count int) int {
	size := 0
	for i := range count {
		entry := fmt.Appendf(nil, `{"backend":"foreign%d","address":"127.0.0.1:%d","zone":"z1","capacity":4,"state":"ready","dbRole":"replica","born":1}`, i, 20000+i)
		site.Store.Put(fmt.Sprintf("servers/foreign-%d", i), entry)
		size += len(entry)
	}
	return size
}

// followerThatOwns stops store readers that own the database until a follower owns it.
func followerThatOwns(t *testing.T, site *fakepl.Platform, all []*testInstance) *testInstance {
	t.Helper()
	for len(all) > 0 {
		name := ownerOf(site)
		owner := all[slices.IndexFunc(all, func(i *testInstance) bool { return string(i.id) == name })]
		if !slices.Contains(readersOf(all), owner) {
			return owner
		}
		owner.stop()
		all = slices.DeleteFunc(slices.Clone(all), func(i *testInstance) bool { return i == owner })
		awaitWrite(t, all[0].callers)
		time.Sleep(discoveryTime)
	}
	require.Fail(t, "no follower owns the database")
	return nil
}
