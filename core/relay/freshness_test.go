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

func newResponse(peer types.InstanceID, sent time.Time, status relay.PeerStatus) relay.HeartbeatResponse {
	return relay.HeartbeatResponse{Peer: peer, SentAt: sent, Status: status}
}

func TestDocumentsStayFreshForTwoSecondsAfterStoreConfirmedAllOfThem(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		members, f := membersOf(5), relay.NewFreshness(time.Now())
		time.Sleep(time.Millisecond)
		requireIsolated(t, f.Check(time.Now(), self, members))
		f.RecordStore(relay.ContractPrefix, time.Now())
		requireIsolated(t, f.Check(time.Now(), self, members))
		f.RecordStore(relay.GroupPrefix, time.Now().Add(-500*time.Microsecond))
		require.NoError(t, f.Check(time.Now(), self, members))
		time.Sleep(1999 * time.Millisecond)
		require.NoError(t, f.Check(time.Now(), self, members))
		time.Sleep(time.Millisecond)
		requireIsolated(t, f.Check(time.Now(), self, members))
	})
}

func TestPeerResponseCountsFromSendingOnlyIfItsDocumentsAreHeld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		members, f := membersOf(5), relay.NewFreshness(time.Now())
		time.Sleep(5 * time.Second)
		sent := time.Now()
		time.Sleep(time.Second)
		ahead := relay.PeerStatus{Revisions: relay.Revisions{Contracts: 4}, Synced: true, StoreAge: relay.NewAge(50)}
		f.RecordHeartbeat(newResponse("i1", sent, ahead), relay.Revisions{Contracts: 3}, members)
		requireIsolated(t, f.Check(time.Now(), self, members))
		f.RecordHeartbeat(newResponse("i1", sent, ahead), relay.Revisions{Contracts: 4}, members)
		require.NoError(t, f.Check(time.Now(), self, members))
		time.Sleep(499 * time.Millisecond)
		require.NoError(t, f.Check(time.Now(), self, members))
		time.Sleep(time.Millisecond)
		requireIsolated(t, f.Check(time.Now(), self, members))
	})
}

func TestMajorityOfPeersKeepsDocumentsFreshDuringStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		members, f := membersOf(5), relay.NewFreshness(time.Now())
		time.Sleep(time.Second)
		noStore := relay.PeerStatus{Synced: true, StoreAge: relay.NewAge(1000)}
		f.RecordHeartbeat(newResponse("i1", time.Now(), noStore), relay.Revisions{}, members)
		f.RecordHeartbeat(newResponse("i2", time.Now(), noStore), relay.Revisions{}, members)
		requireIsolated(t, f.Check(time.Now(), self, members))
		f.RecordHeartbeat(newResponse("i3", time.Now(), noStore), relay.Revisions{}, members)
		require.NoError(t, f.Check(time.Now(), self, members), "three others make a new instance synced")
		time.Sleep(1500 * time.Millisecond)
		f.RecordHeartbeat(newResponse("i1", time.Now(), noStore), relay.Revisions{}, members)
		f.RecordHeartbeat(newResponse("i2", time.Now(), noStore), relay.Revisions{}, members)
		time.Sleep(1500 * time.Millisecond)
		require.NoError(t, f.Check(time.Now(), self, members), "two others and the instance itself are a majority")
		time.Sleep(500 * time.Millisecond)
		requireIsolated(t, f.Check(time.Now(), self, members))
	})
}

func TestHalfOfTheMembersIsNotAMajority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		members, f := membersOf(4), relay.NewFreshness(time.Now())
		f.RecordStore(relay.ContractPrefix, time.Now().Add(time.Millisecond))
		f.RecordStore(relay.GroupPrefix, time.Now().Add(time.Millisecond))
		time.Sleep(5 * time.Second)
		noStore := relay.PeerStatus{Synced: true, StoreAge: relay.NewAge(1000)}
		f.RecordHeartbeat(newResponse("i1", time.Now(), noStore), relay.Revisions{}, members)
		requireIsolated(t, f.Check(time.Now(), self, members))
		f.RecordHeartbeat(newResponse("i2", time.Now(), noStore), relay.Revisions{}, members)
		require.NoError(t, f.Check(time.Now(), self, members))
	})
}

func TestContactsOfPeersCountOnlyForSameMembership(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		members, f := membersOf(5), relay.NewFreshness(time.Now())
		time.Sleep(5 * time.Second)
		status := relay.PeerStatus{
			Synced: true, Membership: members.Revision, StoreAge: relay.NewAge(1000),
			Contacts: []relay.Age{255, 0, 20, 20, 20},
		}
		other := status
		other.Membership++
		f.RecordHeartbeat(newResponse("i1", time.Now(), other), relay.Revisions{}, members)
		requireIsolated(t, f.Check(time.Now(), self, members))
		f.RecordHeartbeat(newResponse("i1", time.Now(), status), relay.Revisions{}, members)
		require.NoError(t, f.Check(time.Now(), self, members))
		require.Equal(t, []relay.Age{0, 0, 20, 20, 20}, f.Contacts(time.Now(), self, members))
		time.Sleep(1900 * time.Millisecond)
		requireIsolated(t, f.Check(time.Now(), self, members))
	})
}

func TestRestartedInstanceIsSyncedOnlyOnceItsDocumentsWereCurrent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		members, f := membersOf(3), relay.NewFreshness(time.Now())
		stale := relay.PeerStatus{Synced: true, StoreAge: relay.NewAge(50)}
		time.Sleep(100 * time.Millisecond)
		f.RecordHeartbeat(newResponse("i1", time.Now(), stale), relay.Revisions{}, members)
		require.False(t, f.Synced(), "the store confirmed the documents before the start")
		unsynced := relay.PeerStatus{}
		f.RecordHeartbeat(newResponse("i2", time.Now(), unsynced), relay.Revisions{}, members)
		require.False(t, f.Synced(), "an instance that may have lost its documents does not count")
		f.RecordHeartbeat(newResponse("i1", time.Now(), relay.PeerStatus{Synced: true}), relay.Revisions{}, members)
		require.True(t, f.Synced())
	})
}

func TestListingWithoutChangesConfirmsAtEndOfItsWait(t *testing.T) {
	sent := time.Now()
	wait := time.Second
	require.Equal(t, sent, relay.ConfirmedAt(sent, sent.Add(wait), wait, 1))
	require.Equal(t, sent, relay.ConfirmedAt(sent, sent.Add(wait/2), wait, 0), "an empty answer before the end of the wait")
	require.Equal(t, sent.Add(wait), relay.ConfirmedAt(sent, sent.Add(3*wait), wait, 0), "a delayed answer does not look newer")
}

// TestFreshInstancesHoldWhatAMajorityHeld exchanges heartbeats between random instances. An instance that is fresh through
// its peers has to hold every change that a majority held two seconds ago.
func TestFreshInstancesHoldWhatAMajorityHeld(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(2, 7).Draw(t, "size")
		members, now := membersOf(size), time.Now()
		freshness, held := make([]*relay.Freshness, size), make([]types.Revision, size)
		accepted := map[types.Revision]time.Time{}
		for index := range freshness {
			freshness[index] = relay.NewFreshness(now.Add(-time.Hour))
			freshness[index].RecordStore(relay.ContractPrefix, now)
			freshness[index].RecordStore(relay.GroupPrefix, now)
		}
		now = now.Add(10 * time.Second)
		for step := 0; step < 60; step++ {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond)
			asker, peer := rapid.IntRange(0, size-1).Draw(t, "asks"), rapid.IntRange(0, size-1).Draw(t, "answers")
			if asker == peer {
				held[asker] = types.Revision(step + 1)
				continue
			}
			id := members.Instances[peer].ID
			status := relay.PeerStatus{
				Revisions: relay.Revisions{Contracts: held[peer]}, Membership: members.Revision, Synced: true,
				StoreAge: freshness[peer].StoreAge(now), Contacts: freshness[peer].Contacts(now, id, members),
			}
			if rapid.Bool().Draw(t, "fetched") {
				held[asker] = max(held[asker], held[peer])
			}
			freshness[asker].RecordHeartbeat(newResponse(id, now, status), relay.Revisions{Contracts: held[asker]}, members)
			recordAccepted(accepted, held, now)
			for index, f := range freshness {
				if f.Check(now, members.Instances[index].ID, members) == nil {
					requireHolds(t, accepted, held[index], now)
				}
			}
		}
	})
}

// recordAccepted records when each revision was first in force at a majority.
func recordAccepted(accepted map[types.Revision]time.Time, held []types.Revision, now time.Time) {
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
