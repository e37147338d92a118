package node_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"turmericpulley/core/fleet"
	"turmericpulley/core/hold"
	"turmericpulley/io/fakepl"
)

// TestVersionOfAnotherFleetIsIgnored guards against instances that refuse their callers for good because an instance of another fleet, which
// takes their address for that of its own owner, has a newer configuration.
func TestVersionOfAnotherFleetIsIgnored(t *testing.T) {
	const supersededLimit = 2 * time.Second
	site, other := newSite(t), newSite(t)
	all := newDataCentre(t, site, 2)
	other.Configure(9, 1000)
	lost := fleet.Instance{ID: "lost", PeerAddress: all[0].peers.Addr().String(), DataCentre: "z1", Incarnation: 1, State: fleet.Live}
	entry, err := json.Marshal(lost)
	require.NoError(t, err)
	other.Store.Put("turmericpulley/instances/lost", entry)
	record, err := hold.Record{Owner: hold.Owner{Instance: lost.ID, Incarnation: lost.Incarnation}}.Encode()
	require.NoError(t, err)
	other.Store.Put("turmericpulley/owners/db1", record)
	foreign := startInstance(t, other, "foreign")
	defer foreign.stop()
	awaitWrite(t, foreign.callers)
	time.Sleep(supersededLimit + time.Second)
	for _, i := range all {
		require.True(t, fakepl.SessionOpens(i.callers, "primary"), "%s", i.id)
	}
}
