package fleet

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"turmericpulley/core/types"
)

// heartbeatPeersPerInstance is the number of instances that each instance sends heartbeats to.
const heartbeatPeersPerInstance = 8

// HeartbeatPeers returns the instances that self sends heartbeats to: the next instance in each of eight rings, or all others
// when there are at most eight. An instance also learns of changes from these peers. With separate rings a change
// reaches all instances in a logarithmic number of hops; with one ring it would need a linear number.
func (m Membership) HeartbeatPeers(self types.InstanceID) []Instance {
	others := make([]Instance, 0, len(m.Instances))
	for _, i := range m.Instances {
		if i.ID != self {
			others = append(others, i)
		}
	}
	if len(others) <= heartbeatPeersPerInstance {
		return others
	}
	peers := make([]Instance, 0, heartbeatPeersPerInstance)
	chosen := make(map[types.InstanceID]bool, heartbeatPeersPerInstance)
	for ring := range heartbeatPeersPerInstance {
		next := nextInRing("ring"+strconv.Itoa(ring), self, others, chosen)
		chosen[next.ID] = true
		peers = append(peers, next)
	}
	return peers
}

// nextInRing returns the instance that follows self in the ring, skipping those that are chosen already. The scores for the
// name of the ring are the positions in it; their difference wraps around.
func nextInRing(ring string, self types.InstanceID, others []Instance, chosen map[types.InstanceID]bool) Instance {
	hash := xxhash.Sum64String(ring)
	selfScore := scoreOf(hash, Instance{ID: self})
	var best Instance
	var bestDistance score
	for _, i := range others {
		distance := scoreOf(hash, i) - selfScore
		if !chosen[i.ID] && (best.ID == "" || distance < bestDistance) {
			best, bestDistance = i, distance
		}
	}
	return best
}
