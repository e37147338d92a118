package fleet

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"turmericpulley/core/types"
)

// heartbeatPeersPerInstance is the number of instances that each instance sends heartbeats to.
const heartbeatPeersPerInstance = 8

// HeartbeatPeers returns the instances that self sends heartbeats to: its successor in each of eight rings, or all others
// when they are few. Separate rings spread news in a logarithmic number of hops; one ring would need a linear number.
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
	watched := make([]Instance, 0, heartbeatPeersPerInstance)
	chosen := make(map[types.InstanceID]bool, heartbeatPeersPerInstance)
	for ring := range heartbeatPeersPerInstance {
		next := nextInRing("ring"+strconv.Itoa(ring), self, others, chosen)
		chosen[next.ID] = true
		watched = append(watched, next)
	}
	return watched
}

// nextInRing returns the instance that follows self in the ring, skipping those chosen already.
func nextInRing(ring string, self types.InstanceID, others []Instance, chosen map[types.InstanceID]bool) Instance {
	hash := xxhash.Sum64String(ring)
	own := scoreOf(hash, Instance{ID: self})
	var best Instance
	var bestDistance score
	for _, i := range others {
		distance := scoreOf(hash, i) - own
		if !chosen[i.ID] && (best.ID == "" || distance < bestDistance) {
			best, bestDistance = i, distance
		}
	}
	return best
}
