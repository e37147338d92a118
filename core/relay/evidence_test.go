package relay_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"turmericpulley/core/fault"
	"turmericpulley/core/fleet"
	"turmericpulley/core/relay"
	"turmericpulley/core/types"
)

const self = types.InstanceID("i0")

func membersOf(size int) fleet.Membership {
	members := fleet.Membership{Revision: 9}
	for index := range size {
		id := types.InstanceID(fmt.Sprintf("i%d", index))
		members, _ = members.With([]fleet.Change{fleet.Join{Instance: fleet.Instance{ID: id, State: fleet.Live}}})
	}
	return members
}

func requireIsolated(t require.TestingT, err error) {
	require.NotNil(t, fault.From(err))
	require.Equal(t, fault.Isolated, fault.From(err).Kind)
}

func answer(peer types.InstanceID, sent time.Time, standing relay.PeerStatus) relay.HeartbeatResponse {
	return relay.HeartbeatResponse{Peer: peer, SentAt: sent, Status: standing}
}

func TestStoreConfirmationLapses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		members, e := membersOf(5), relay.NewFreshness(time.Now())
		time.Sleep(time.Millisecond)
		requireIsolated(t, e.Check(time.Now(), self, members))
		e.RecordStore(relay.ContractPrefix, time.Now())
		requireIsolated(t, e.Check(time.Now(), self, members))
		e.RecordStore(relay.GroupPrefix, time.Now().Add(-500*time.Microsecond))
		require.NoError(t, e.Check(time.Now(), self, members))
		time.Sleep(1999 * time.Millisecond)
		require.NoError(t, e.Check(time.Now(), self, members))
		time.Sleep(time.Millisecond)
		requireIsolated(t, e.Check(time.Now(), self, members))
	})
}

func TestPeerCountsOnlyWithItsDocumentsAndFromTheSending(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		members, e := membersOf(5), relay.NewFreshness(time.Now())
		time.Sleep(5 * time.Second)
		sent := time.Now()
		time.Sleep(time.Second)
		ahead := relay.PeerStatus{Revisions: relay.Revisions{Contracts: 4}, Synced: true, StoreAge: relay.NewAge(50)}
		e.RecordHeartbeat(answer("i1", sent, ahead), relay.Revisions{Contracts: 3}, members)
		requireIsolated(t, e.Check(time.Now(), self, members))
		e.RecordHeartbeat(answer("i1", sent, ahead), relay.Revisions{Contracts: 4}, members)
		require.NoError(t, e.Check(time.Now(), self, members))
		time.Sleep(499 * time.Millisecond)
		require.NoError(t, e.Check(time.Now(), self, members))
		time.Sleep(time.Millisecond)
		requireIsolated(t, e.Check(time.Now(), self, members))
	})
}

func TestMajorityCarriesThroughAnOutageOfTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		members, e := membersOf(5), relay.NewFreshness(time.Now())
		time.Sleep(time.Second)
		lost := relay.PeerStatus{Synced: true, StoreAge: relay.NewAge(1000)}
		e.RecordHeartbeat(answer("i1", time.Now(), lost), relay.Revisions{}, members)
		e.RecordHeartbeat(answer("i2", time.Now(), lost), relay.Revisions{}, members)
		requireIsolated(t, e.Check(time.Now(), self, members))
		e.RecordHeartbeat(answer("i3", time.Now(), lost), relay.Revisions{}, members)
		require.NoError(t, e.Check(time.Now(), self, members), "three others settle a new instance")
		time.Sleep(1500 * time.Millisecond)
		e.RecordHeartbeat(answer("i1", time.Now(), lost), relay.Revisions{}, members)
		e.RecordHeartbeat(answer("i2", time.Now(), lost), relay.Revisions{}, members)
		time.Sleep(1500 * time.Millisecond)
		require.NoError(t, e.Check(time.Now(), self, members), "two others and itself")
		time.Sleep(500 * time.Millisecond)
		requireIsolated(t, e.Check(time.Now(), self, members))
	})
}

func TestHalfOfTheMembersIsNoMajority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		members, e := membersOf(4), relay.NewFreshness(time.Now())
		e.RecordStore(relay.ContractPrefix, time.Now().Add(time.Millisecond))
		e.RecordStore(relay.GroupPrefix, time.Now().Add(time.Millisecond))
		time.Sleep(5 * time.Second)
		lost := relay.PeerStatus{Synced: true, StoreAge: relay.NewAge(1000)}
		e.RecordHeartbeat(answer("i1", time.Now(), lost), relay.Revisions{}, members)
		requireIsolated(t, e.Check(time.Now(), self, members))
		e.RecordHeartbeat(answer("i2", time.Now(), lost), relay.Revisions{}, members)
		require.NoError(t, e.Check(time.Now(), self, members))
	})
}

func TestContactsReachThroughPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		members, e := membersOf(5), relay.NewFreshness(time.Now())
		time.Sleep(5 * time.Second)
		standing := relay.PeerStatus{
			Synced: true, Membership: members.Revision, StoreAge: relay.NewAge(1000),
			Contacts: []relay.Age{255, 0, 20, 20, 20},
		}
		other := standing
		other.Membership++
		e.RecordHeartbeat(answer("i1", time.Now(), other), relay.Revisions{}, members)
		requireIsolated(t, e.Check(time.Now(), self, members))
		e.RecordHeartbeat(answer("i1", time.Now(), standing), relay.Revisions{}, members)
		require.NoError(t, e.Check(time.Now(), self, members))
		require.Equal(t, []relay.Age{0, 0, 20, 20, 20}, e.Contacts(time.Now(), self, members))
		time.Sleep(1900 * time.Millisecond)
		requireIsolated(t, e.Check(time.Now(), self, members))
	})
}

func TestRestartedInstanceCountsOnlyOnceItsDocumentsAreCurrent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		members, e := membersOf(3), relay.NewFreshness(time.Now())
		stale := relay.PeerStatus{Synced: true, StoreAge: relay.NewAge(50)}
		time.Sleep(100 * time.Millisecond)
		e.RecordHeartbeat(answer("i1", time.Now(), stale), relay.Revisions{}, members)
		require.False(t, e.Synced(), "the store's word is from before the start")
		unsettled := relay.PeerStatus{}
		e.RecordHeartbeat(answer("i2", time.Now(), unsettled), relay.Revisions{}, members)
		require.False(t, e.Synced(), "an instance that may have lost its documents does not count")
		e.RecordHeartbeat(answer("i1", time.Now(), relay.PeerStatus{Synced: true}), relay.Revisions{}, members)
		require.True(t, e.Synced())
	})
}

func TestConfirmationIsDatedFromTheSending(t *testing.T) {
	sent := time.Now()
	wait := time.Second
	require.Equal(t, sent, relay.ConfirmedAt(sent, sent.Add(wait), wait, 1))
	require.Equal(t, sent, relay.ConfirmedAt(sent, sent.Add(wait/2), wait, 0), "an early empty answer proves no wait")
	require.Equal(t, sent.Add(wait), relay.ConfirmedAt(sent, sent.Add(3*wait), wait, 0), "late answers do not look newer")
}

// TestFreshInstancesHoldWhatAMajorityHolds delivers heartbeats in random order: an instance that is fresh through peers
// holds every change that a majority held two seconds ago.
func TestFreshInstancesHoldWhatAMajorityHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(2, 7).Draw(t, "size")
		members, now := membersOf(size), time.Now()
		evidence, held := make([]*relay.Freshness, size), make([]types.Revision, size)
		accepted := map[types.Revision]time.Time{}
		for index := range evidence {
			evidence[index] = relay.NewFreshness(now.Add(-time.Hour))
			evidence[index].RecordStore(relay.ContractPrefix, now)
			evidence[index].RecordStore(relay.GroupPrefix, now)
		}
		now = now.Add(10 * time.Second)
		for step := 0; step < 60; step++ {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond)
			asks, answers := rapid.IntRange(0, size-1).Draw(t, "asks"), rapid.IntRange(0, size-1).Draw(t, "answers")
			if asks == answers {
				held[asks] = types.Revision(step + 1)
				continue
			}
			id := members.Instances[answers].ID
			standing := relay.PeerStatus{
				Revisions: relay.Revisions{Contracts: held[answers]}, Membership: members.Revision, Synced: true,
				StoreAge: evidence[answers].StoreAge(now), Contacts: evidence[answers].Contacts(now, id, members),
			}
			if rapid.Bool().Draw(t, "fetched") {
				held[asks] = max(held[asks], held[answers])
			}
			evidence[asks].RecordHeartbeat(answer(id, now, standing), relay.Revisions{Contracts: held[asks]}, members)
			noteAccepted(accepted, held, now)
			for index, e := range evidence {
				if e.Check(now, members.Instances[index].ID, members) == nil {
					requireHolds(t, accepted, held[index], now)
				}
			}
		}
	})
}

// noteAccepted records when each revision first was in force at a majority.
func noteAccepted(accepted map[types.Revision]time.Time, held []types.Revision, now time.Time) {
	for _, revision := range held {
		count := 0
		for _, other := range held {
			if other >= revision {
				count++
			}
		}
		if _, known := accepted[revision]; !known && 2*count > len(held) {
			accepted[revision] = now
		}
	}
}

func requireHolds(t require.TestingT, accepted map[types.Revision]time.Time, held types.Revision, now time.Time) {
	for revision, at := range accepted {
		if now.Sub(at) >= 2*time.Second {
			require.GreaterOrEqual(t, held, revision)
		}
	}
}
