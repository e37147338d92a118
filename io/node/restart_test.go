package node_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"turmericpulley/core/fleet"
	"turmericpulley/core/hold"
	"turmericpulley/core/policy"
	"turmericpulley/core/types"
	"turmericpulley/io/fakepl"
)

// callerTimeout is the shortest time for which callers wait for an answer.
const callerTimeout = time.Second

// TestRestartedOwnerServesWithoutWaitingForOthers restarts the owner of a database after a loss of all instances, while the
// eleven candidates that rank before it in rendezvous hashing are not back yet.
func TestRestartedOwnerServesWithoutWaitingForOthers(t *testing.T) {
	site, err := fakepl.NewPlatform(0)
	require.NoError(t, err)
	defer site.Close()
	var members fleet.Membership
	for n := range 12 {
		members, _ = members.With([]fleet.Change{fleet.Join{Instance: fleet.Instance{
			ID: types.InstanceID(fmt.Sprintf("n%d", n)), PeerAddress: "127.0.0.1:1", DataCentre: "z1", Incarnation: 1, State: fleet.Live,
		}}})
	}
	ranked := members.OwnerCandidates(policy.Database{Database: "db1"})
	last := ranked[len(ranked)-1]
	for _, i := range ranked {
		value, err := json.Marshal(i)
		require.NoError(t, err)
		site.Store.Put("turmericpulley/instances/"+string(i.ID), value)
	}
	record := hold.Record{Owner: hold.Owner{Instance: last.ID, Incarnation: 1}}
	value, err := record.Encode()
	require.NoError(t, err)
	site.Store.Put("turmericpulley/owners/db1", value)
	began := time.Now()
	owner := startInstance(t, site, string(last.ID))
	awaitWrite(t, owner.callers)
	t.Logf("served after %s", time.Since(began))
	require.Less(t, time.Since(began), callerTimeout)
}

// TestClaimWithoutAnswerIsAdoptedSoon lets the store carry out all writes without an answer. An instance that claims a database then
// has to find out soon that it owns it.
func TestClaimWithoutAnswerIsAdoptedSoon(t *testing.T) {
	site, err := fakepl.NewPlatform(0)
	require.NoError(t, err)
	defer site.Close()
	site.Store.WithholdResponses(true)
	began := time.Now()
	owner := startInstance(t, site, "n1")
	awaitWrite(t, owner.callers)
	t.Logf("served after %s", time.Since(began))
	require.Less(t, time.Since(began), 700*time.Millisecond)
	site.Store.WithholdResponses(false)
}
