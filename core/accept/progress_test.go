package accept_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"turmericpulley/core/accept"
	"turmericpulley/core/fleet"
	"turmericpulley/core/types"
)

func membersOf(ids ...types.InstanceID) fleet.Membership {
	m := fleet.Membership{Revision: 1}
	for _, id := range ids {
		m.Instances = append(m.Instances, fleet.Instance{ID: id, Incarnation: 1, State: fleet.Live})
	}
	return m
}

func TestChangeIsAcceptedOnceNoInstanceUsesOldContract(t *testing.T) {
	start := time.Unix(1000, 0)
	at := start.Add
	three := membersOf("a", "b", "c")

	p := accept.New(start)
	p.SetMembership(membersOf(), start)
	require.True(t, p.State(start).Accepted(), "without instances, a stored change is accepted")

	p = accept.New(start)
	p.SetMembership(three, start)
	require.Equal(t, []types.InstanceID{"a", "b", "c"}, p.State(at(time.Hour)).Waiting, "missing answers alone do not mean that instances stopped")
	p.RecordAnswer("a", []types.InstanceID{"a"}, at(time.Second))
	require.False(t, p.State(at(time.Hour)).Accepted(), "one of three is not a majority")
	p.RecordAnswer("a", []types.InstanceID{"a", "b"}, at(2*time.Second))
	require.Equal(t, []types.InstanceID{"c"}, p.State(at(4900*time.Millisecond)).Waiting, "the timeout starts with the majority")
	require.Equal(t, []types.InstanceID{"c"}, p.State(at(5*time.Second)).Isolated)
	require.True(t, p.State(at(5*time.Second)).Accepted())

	p.RecordAnswer("c", nil, at(6*time.Second))
	require.False(t, p.State(at(8*time.Second)).Accepted(), "an instance that answers may take work")
	require.True(t, p.State(at(9*time.Second)).Accepted())
	p.RecordAnswer("b", []types.InstanceID{"c"}, at(9*time.Second))
	require.Len(t, p.State(at(9*time.Second)).InForce, 3)
	require.True(t, p.State(at(9*time.Second)).Accepted())

	restarted := membersOf("a", "b", "c")
	restarted.Instances[0].Incarnation = 2
	p.SetMembership(restarted, at(10*time.Second))
	require.Equal(t, []types.InstanceID{"a"}, p.State(at(10*time.Second)).Waiting, "a new incarnation starts without documents")

	leaving := membersOf("a", "b")
	leaving.Instances[1].State = fleet.Leaving
	p = accept.New(start)
	p.SetMembership(leaving, start)
	p.RecordAnswer("a", []types.InstanceID{"a"}, start)
	require.False(t, p.State(start).Accepted(), "one of two is not a majority")
	p.RecordAnswer("b", []types.InstanceID{"b"}, start)
	p.SetMembership(membersOf("a"), start)
	require.False(t, p.State(start).Accepted(), "an instance that was just removed may not know of it")
	require.True(t, p.State(at(3*time.Second)).Accepted())

	p = accept.New(start)
	p.SetMembership(three, start)
	p.SetMembership(membersOf("a"), start)
	p.RecordAnswer("a", []types.InstanceID{"a"}, start)
	require.Equal(t, []types.InstanceID{"b", "c"}, p.State(start).Removed)
	require.False(t, p.State(at(time.Hour)).Accepted(), "the removed instances may be a majority of their own membership")

	p = accept.New(start)
	p.SetMembership(membersOf("a", "b"), start)
	p.SetListed([]types.InstanceID{"a", "b", "c", "d", "e"}, start)
	p.RecordAnswer("a", []types.InstanceID{"a", "b"}, start)
	require.Equal(t, []types.InstanceID{"c", "d", "e"}, p.State(start).Removed)
	require.False(t, p.State(at(time.Hour)).Accepted(), "the smaller part of the region may have removed them before")
	p.SetListed([]types.InstanceID{"a", "b", "c"}, at(time.Hour))
	require.True(t, p.State(at(2*time.Hour)).Accepted())
}

// TestNoInstanceUsesOldContractOnceChangeIsAccepted applies random steps to five instances. An instance without the change
// may take work while its contracts were confirmed less than 2 s ago: by the store before the change, or by a majority of
// instances without the change.
func TestNoInstanceUsesOldContractOnceChangeIsAccepted(t *testing.T) {
	const freshness = 2 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		ids := []types.InstanceID{"a", "b", "c", "d", "e"}
		members := membersOf(ids...)
		start := time.Unix(1000, 0)
		p := accept.New(start)
		p.SetMembership(members, start)
		held := map[types.InstanceID]bool{}
		confirmed := map[types.InstanceID]time.Time{}
		for _, id := range ids {
			confirmed[id] = start
		}
		now := start
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
			id := rapid.SampledFrom(ids).Draw(t, "id")
			switch rapid.IntRange(0, 4).Draw(t, "action") {
			case 0:
				held[id] = true
			case 4:
				present := membersOf(ids[rapid.IntRange(0, 2).Draw(t, "removed"):]...)
				p.SetMembership(present, now)
			case 1:
				if 2*(len(ids)-len(held)) > len(ids) {
					confirmed[id] = now
				}
			default:
				var known []types.InstanceID
				if held[id] {
					known = append(known, id)
				}
				p.RecordAnswer(id, known, now)
			}
			if !p.State(now).Accepted() {
				continue
			}
			for _, other := range ids {
				fresh := now.Sub(confirmed[other]) < freshness
				require.False(t, !held[other] && fresh, "%s works under the old contract", other)
			}
		}
	})
}
