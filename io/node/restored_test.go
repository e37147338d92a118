package node_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"turmericpulley/io/fakepl"
)

// rewritten are the prefixes of what the operator and the members write again after the store was restored.
var rewritten = []string{"op/", "servers/"}

// TestDatabaseGetsAnOwnerAfterTheStoreWasRestored restores the store from a copy that is older than the record of the owner, which dies
// without having noticed it.
func TestDatabaseGetsAnOwnerAfterTheStoreWasRestored(t *testing.T) {
	site, err := fakepl.NewPlatform(0)
	require.NoError(t, err)
	defer site.Close()
	site.Configure(1, 300)
	nodes := map[string]*testInstance{}
	for _, name := range []string{"n1", "n2", "n3"} {
		nodes[name] = startInstance(t, site, name)
	}
	for _, n := range nodes {
		awaitWrite(t, n.callers)
	}
	copied := site.Store.Copy()
	require.Eventually(t, func() bool { return standbyOf(site) != "" }, discoveryTime, 10*time.Millisecond)
	owner := nodes[ownerOf(site)]
	owner.disconnected.Store(true)
	site.Store.Restore(copied, rewritten...)
	owner.stop()
	for _, n := range nodes {
		if n != owner {
			awaitWrite(t, n.callers)
		}
	}
	require.NotEqual(t, string(owner.id), ownerOf(site))
}

// TestOwnerServesOnWhenItsRecordIsLost restores the store from a copy that is older than the whole fleet. Each instance has to write its
// entry again, and the owner its record; callers must not notice.
func TestOwnerServesOnWhenItsRecordIsLost(t *testing.T) {
	site, err := fakepl.NewPlatform(0)
	require.NoError(t, err)
	defer site.Close()
	site.Configure(1, 300)
	copied := site.Store.Copy()
	nodes := map[string]*testInstance{}
	for _, name := range []string{"n1", "n2", "n3"} {
		nodes[name] = startInstance(t, site, name)
	}
	for _, n := range nodes {
		awaitWrite(t, n.callers)
	}
	time.Sleep(discoveryTime)
	owner := ownerOf(site)
	site.Store.Restore(copied, rewritten...)
	require.Empty(t, ownerOf(site))
	refused := 0
	for began := time.Now(); time.Since(began) < discoveryTime; {
		for _, n := range nodes {
			if !fakepl.StatementSucceeds(n.callers, "primary", "WRITE a 1") {
				refused++
			}
		}
	}
	require.Zero(t, refused)
	require.Equal(t, owner, ownerOf(site))
	for name := range nodes {
		require.NotEmpty(t, site.Store.Value("turmericpulley/instances/"+name), "entry of %s", name)
	}
}

// TestChangeAfterARestorationIsInForceInTime restores the store from a copy, and changes the configuration with a revision that was given
// out before.
func TestChangeAfterARestorationIsInForceInTime(t *testing.T) {
	site, err := fakepl.NewPlatform(0)
	require.NoError(t, err)
	defer site.Close()
	site.Configure(1, 300)
	all := newDataCentre(t, site, 6)
	copied := site.Store.Copy()
	site.Configure(2, 300, "kept")
	for range 20 {
		site.Store.Put("op/other", nil)
	}
	for _, i := range all {
		require.Eventually(t, func() bool { return fakepl.SessionOpens(i.callers, "kept") }, configurationDeadline, 10*time.Millisecond)
	}
	site.Store.Restore(copied, rewritten...)
	site.Configure(3, 300, "kept", "late")
	changed := time.Now()
	for _, i := range all {
		require.Eventually(t, func() bool { return fakepl.SessionOpens(i.callers, "late") }, time.Until(changed.Add(configurationDeadline)), 10*time.Millisecond,
			"%s after %s", i.callers, time.Since(changed))
	}
}
