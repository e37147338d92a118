package node

import (
	"context"
	"math"
	"slices"
	"time"

	"turmericpulley/core/clock"
	"turmericpulley/core/types"
	"turmericpulley/io/wire"
)

// serveFollow answers a follower's request when there is a change, or when the request's waiting time ends. The version is that
// of the follower's configuration.
func (s *storeSync) serveFollow(request *wire.Follow, version int64) *wire.Followed {
	n := s.node
	received := n.settings.Clock.Now()
	s.awaitChange(request, version)
	answer := &wire.Followed{FleetRevision: s.fleetRevision.Load()}
	// The moment of the proof is taken before the configuration: a read that arrives in between proves nothing for the older one.
	proved, hasProof := s.proof.AsOf()
	if n.configurationVersion() > version {
		answer.Configuration = s.newestConfiguration.Load().messageFor(types.Revision(request.GetConfigurationRevision()))
	}
	answer.Items = encodeItems(n.directory.changedSince(types.Revision(request.GetFleetRevision())))
	recordsSent := s.addRecords(answer, request.GetHeld())
	answer.Covered = s.freshness.Remaining() > 0
	fresh, _ := s.freshness.AsOf()
	// All ages are those at one moment, that at which the request was held no longer: a suspension between two readings of the clock
	// would make one of them too small.
	answered := n.settings.Clock.Now()
	answer.AgeMs = ageMilliseconds(answered.Sub(fresh))
	answer.HeldMs = uint32(answered.Sub(received).Milliseconds())
	if len(answer.GetRecords()) > 0 || answer.GetRecordsStoreRevision() != 0 {
		answer.RecordsAgeMs = ageMilliseconds(answered.Sub(recordsSent))
	}
	if hasProof && s.proof.Needed() {
		answer.ProofAgeMs = ageMilliseconds(answered.Sub(proved)) + 1
	}
	return answer
}

// addRecords adds the revisions of the owner records of the held databases to the answer, when the store serves this instance, and
// returns when their read was sent.
func (s *storeSync) addRecords(answer *wire.Followed, held []string) clock.Moment {
	if len(held) == 0 {
		return 0
	}
	reading, found := s.node.ownerships.records.forFollower(recordsMaxAge)
	if !found {
		return 0
	}
	for _, database := range held {
		for _, record := range reading.byDatabase[types.DatabaseID(database)] {
			answer.Records = append(answer.Records, &wire.RecordRevision{Database: database, Revision: uint64(record.Revision)})
		}
	}
	answer.RecordsStoreRevision = uint64(reading.revision)
	return reading.sent
}

// ageMilliseconds rounds an age up, so that nothing counts as younger than it is, also not one that is too long for the message.
func ageMilliseconds(age time.Duration) uint32 {
	return uint32(min((age + time.Millisecond - 1).Milliseconds(), math.MaxUint32-1))
}

// awaitChange waits for a configuration newer than the version, or for changes of instances or owners. It waits at most as long
// as the request says, and at most followTimeout. Changes of owners end the wait at once, others after followBatchDelay. So does an owner record
// that is newer than all that is complete here: the follower cannot say that it has it, and would ask for it again without end.
func (s *storeSync) awaitChange(request *wire.Follow, version int64) {
	n := s.node
	wait := min(time.Duration(request.GetWaitMs())*time.Millisecond, followTimeout)
	ctx, cancel := context.WithTimeout(n.ctx, wait)
	defer cancel()
	var batchEnds <-chan time.Time
	for {
		configuration, instances := n.routes.Changed(), n.directory.nextChange()
		complete := types.Revision(s.fleetRevision.Load())
		items := n.directory.changedSince(types.Revision(request.GetFleetRevision()))
		if n.configurationVersion() > version ||
			slices.ContainsFunc(items, func(item Item) bool { return isOwnerRecord(item) && item.Revision <= complete }) {
			return
		}
		if len(items) > 0 && batchEnds == nil {
			batchEnds = time.After(followBatchDelay)
		}
		select {
		case <-configuration:
		case <-instances:
		case <-batchEnds:
			return
		case <-ctx.Done():
			return
		}
	}
}
