package node

import (
	"context"
	"slices"
	"time"

	"turmericpulley/core/cover"
	"turmericpulley/core/fleet"
	"turmericpulley/core/pause"
	"turmericpulley/core/routes"
	"turmericpulley/core/types"
	"turmericpulley/io/peers"
	"turmericpulley/io/wire"
)

const (
	// readerWatchTimeout is how long a store reader's watch for the configuration waits in the store, and followTimeout how
	// long the reader holds a follower's request. Both together stay below the age up to which a follower's copy is fresh.
	readerWatchTimeout = 700 * time.Millisecond
	followTimeout      = 700 * time.Millisecond
	// readerFollowTimeout is followTimeout for the request of another store reader, whose own followers' copies age with both.
	readerFollowTimeout = 300 * time.Millisecond
	// followAnswerMargin is how long after the end of followTimeout the answer may still arrive.
	followAnswerMargin = 400 * time.Millisecond
	// recordsMaxAge is the age up to which a store reader hands on a read of the owner records. With the time that it holds a
	// request, leases are then renewed from reads that are at most 1.6 s old.
	recordsMaxAge = 900 * time.Millisecond
	// readersInterval is the time between two checks whether the data centre has store readers, and followRetryDelay the delay
	// before the next request when a reader did not answer or cannot send its configuration.
	readersInterval  = 500 * time.Millisecond
	followRetryDelay = 100 * time.Millisecond
	// readerAnswerPeriod is the time after an answer of a reader during which the readers count as answering. It covers the next
	// request, and one to the other reader.
	readerAnswerPeriod = 2 * (followTimeout + followRetryDelay)
	// servedPeriod is the time after the sending of an own call during which the store counts as serving this instance. It
	// covers a watch that waits.
	servedPeriod = configurationWatchTimeout + time.Second
	// freshnessCheckInterval is the time between two checks whether a store reader has made this instance's copy fresh.
	freshnessCheckInterval = 100 * time.Millisecond
	// followBatchDelay is how long a reader waits after a change of the instances, so that changes that occur together go into
	// one answer.
	followBatchDelay = 200 * time.Millisecond
	// versionTimeout is how long an instance waits for a configuration that other instances have to arrive from the store's watch or
	// its store reader. It exceeds the pause between two fetches of a storm of changes.
	versionTimeout = 800 * time.Millisecond
)

// followedReaders returns the store readers that this instance follows; none when it watches the store itself.
func (n *Node) followedReaders() []fleet.Instance {
	if n.isStoreReader() {
		return nil
	}
	return n.directory.readers()
}

// readersToAsk returns the store readers that this instance asks for changes. A store reader that the store does not serve asks the others,
// those of other data centres too: the store may refuse a whole data centre. Relayed calls go to instances chosen at random, and fail for
// seconds when the store refuses most of them.
func (s *storeSync) readersToAsk() []fleet.Instance {
	n := s.node
	if !n.isStoreReader() {
		return n.followedReaders()
	}
	if s.ownServed.isWithin(servedPeriod, n.settings.Clock.Now()) {
		return nil
	}
	others := slices.Concat(n.directory.readers(), n.directory.readersElsewhere())
	return slices.DeleteFunc(others, func(i fleet.Instance) bool { return i.ID == n.settings.Self.ID })
}

// isStoreReader reports whether this instance is a store reader.
func (n *Node) isStoreReader() bool {
	return slices.ContainsFunc(n.directory.readers(), func(i fleet.Instance) bool { return i.ID == n.settings.Self.ID })
}

// waitWhileFresh waits while the readers keep this instance's copy fresh, at most for the given time. It reports whether it
// waited; otherwise the copy is not fresh and the store has to be asked.
func (s *storeSync) waitWhileFresh(ctx context.Context, limit time.Duration) bool {
	if !s.isFresh() {
		return false
	}
	pause.For(ctx, min(s.freshness.Remaining(), limit))
	return true
}

// isFresh reports whether this instance follows store readers and its copy of the configuration is fresh.
func (s *storeSync) isFresh() bool {
	return s.freshness.Remaining() > 0 && !s.proof.ReadDue() && len(s.node.followedReaders()) > 0
}

// leavesStoreToReaders reports whether this instance follows store readers that answer, and the store has not served this instance
// itself lately. When its copy is not fresh then, the store does not serve the readers.
func (s *storeSync) leavesStoreToReaders() bool {
	now := s.node.settings.Clock.Now()
	return s.readerAnswered.isWithin(readerAnswerPeriod, now) && !s.ownServed.isWithin(servedPeriod, now) && len(s.node.followedReaders()) > 0
}

// awaitTurn waits until this instance may read the store itself, or until a reader has made its copy fresh again. It returns at
// once when the readers do not answer, or when the store serves this instance.
func (s *storeSync) awaitTurn(ctx context.Context, failures int) {
	n := s.node
	if !s.leavesStoreToReaders() {
		return
	}
	position, followers := n.directory.localPosition()
	turn := n.settings.Clock.Now().Add(cover.OwnReadDelay(position, followers, failures))
	for s.leavesStoreToReaders() && !s.isFresh() && ctx.Err() == nil {
		left := n.settings.Clock.Until(turn)
		if left <= 0 {
			return
		}
		pause.For(ctx, min(left, freshnessCheckInterval))
	}
}

// awaitVersion waits up to versionTimeout for a configuration version that other instances have, and reports whether it arrived.
func (s *storeSync) awaitVersion(ctx context.Context, version int64) bool {
	ctx, cancel := context.WithTimeout(ctx, versionTimeout)
	defer cancel()
	for {
		changed := s.node.routes.Changed()
		if s.node.configurationVersion() >= version {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// followReaders asks store readers for changes. It stays with one reader as long as that one answers. The followers of a data centre begin
// with different ones, which halves the work of each.
func (s *storeSync) followReaders(ctx context.Context) {
	turn, _ := s.node.directory.localPosition()
	for ; ctx.Err() == nil; turn++ {
		readers := s.readersToAsk()
		if len(readers) == 0 || s.fleetRevision.Load() == 0 {
			turn, _ = s.node.directory.localPosition()
			s.awaitReaders(ctx)
			continue
		}
		s.followReader(ctx, readers[turn%len(readers)])
		pause.For(ctx, followRetryDelay)
	}
}

// awaitReaders waits for a change of the instances, at most readersInterval.
func (s *storeSync) awaitReaders(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readersInterval)
	defer cancel()
	select {
	case <-s.node.directory.nextChange():
		pause.For(ctx, freshnessCheckInterval)
	case <-ctx.Done():
	}
}

// followReader asks one reader for changes until the reader gives no usable answer or is no store reader any more, or until this
// instance has to read all instances and owners from the store.
func (s *storeSync) followReader(ctx context.Context, reader fleet.Instance) {
	n := s.node
	channel, err := n.openChannel(ctx, reader)
	if err != nil {
		n.logger.Debug("store reader not reachable", "reader", reader.ID, "error", err)
		return
	}
	defer channel.Close()
	defer context.AfterFunc(ctx, channel.Close)()
	for ctx.Err() == nil && s.fleetRevision.Load() != 0 && slices.Contains(s.readersToAsk(), reader) {
		if !s.followOnce(ctx, channel, reader) {
			return
		}
	}
}

// followOnce sends one follow request to a reader, applies the changes in the answer, and reports whether it was usable. The
// answer of a reader whose own copy is not fresh is not usable.
func (s *storeSync) followOnce(ctx context.Context, channel *peers.Channel, reader fleet.Instance) bool {
	n := s.node
	wait := followTimeout
	if n.isStoreReader() {
		wait = readerFollowTimeout
	}
	if !s.proof.Holds() {
		// The reader may have a proof already, of which it would tell only at the end of the wait.
		wait = 0
	}
	sent := n.settings.Clock.Now()
	reply, err := n.exchangePatiently(time.Now().Add(followTimeout+followAnswerMargin), channel, &wire.Call{Kind: &wire.Call_Follow{Follow: &wire.Follow{
		FleetRevision: s.fleetRevision.Load(), WaitMs: uint32(wait.Milliseconds()), Held: n.directory.heldDatabases(),
		ConfigurationRevision: uint64(s.configurationRevision()),
	}}})
	followed := reply.GetFollowed()
	if err == nil && followed != nil {
		s.readerAnswered.set(n.settings.Clock.Now())
	}
	// A configuration is worth having, also from a reader whose copy is not known to be fresh, as right after a start.
	s.applyPeerConfiguration(followed.GetConfiguration(), string(reader.ID))
	if err != nil || followed == nil || !followed.GetCovered() {
		n.logger.Debug("store reader gave no usable answer", "reader", reader.ID, "error", err)
		return false
	}
	s.served.record(reader.PeerAddress, n.settings.Clock.Now())
	s.applyFleet(decodeItems(followed.GetItems()), types.Revision(followed.GetFleetRevision()))
	if reply.GetConfiguration() > n.configurationVersion() {
		// The reader's configuration could not be used here. It answers every request at once until this instance has got that
		// configuration. The pause limits the rate of these requests.
		return pause.For(ctx, followRetryDelay)
	}
	held, age := milliseconds(followed.GetHeldMs()), milliseconds(followed.GetAgeMs())
	s.freshness.RecordPeer(sent, held, age)
	if proofAge := followed.GetProofAgeMs(); proofAge > 0 {
		s.proof.RecordPeer(sent, held, milliseconds(proofAge), routes.Version(n.configurationVersion()))
	}
	recordsSent := cover.HandedOn(sent, held, milliseconds(followed.GetRecordsAgeMs()))
	if revision := followed.GetRecordsStoreRevision(); revision != 0 {
		n.timeline.Record(types.Revision(revision), recordsSent)
	}
	n.ownerships.renewFromReader(followed.GetRecords(), recordsSent)
	if !s.proof.Holds() {
		return pause.For(ctx, followRetryDelay)
	}
	return true
}

func milliseconds(count uint32) time.Duration { return time.Duration(count) * time.Millisecond }
