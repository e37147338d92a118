package node

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"turmericpulley/core/clock"
	"turmericpulley/core/cover"
	"turmericpulley/core/pause"
	"turmericpulley/core/routes"
	"turmericpulley/core/types"
)

const (
	// configurationWatchTimeout is how long a watch for the configuration waits in the store. A connection that became
	// unresponsive is noticed within about this time; a change must be in force within 3 s.
	configurationWatchTimeout = 2500 * time.Millisecond
	// fleetWatchTimeout is how long a watch for instances and owners waits in the store. It may be longer, since these only
	// determine which instance to connect to.
	fleetWatchTimeout = 20 * time.Second
	// instanceBatchDelay and ownerBatchDelay are pauses between two watches after changes of instances or owners, so that
	// changes that occur together are read with one watch.
	instanceBatchDelay = 400 * time.Millisecond
	ownerBatchDelay    = 50 * time.Millisecond
	// minRetryDelay is the delay after a failed call. It doubles with each further failure up to maxRetryDelay. That is long
	// enough to limit the calls of all instances while the store is unavailable, and short enough to notice its return soon.
	minRetryDelay = 250 * time.Millisecond
	maxRetryDelay = time.Second
	// restorationPeriod is the time after a restoration of the store in which its reads prove nothing. Within it, instances hear from one
	// another of versions that the store has lost: a follower and its reader exchange theirs every 0.7 s.
	restorationPeriod = 1500 * time.Millisecond
)

// storeSync keeps the configuration, the instances and the owners as known here in line with the store. In a data centre of
// many instances only a few of them, the store readers, watch the store; the others, their followers, ask these for changes.
type storeSync struct {
	node *Node
	// newestConfiguration is the newest configuration of the operator as it is sent to other instances; nil before the first.
	newestConfiguration atomic.Pointer[sealedConfiguration]
	// applying serialises the changes of the configuration in force and of newestConfiguration, which must agree.
	applying sync.Mutex
	// wholeNeeded is set after patches of other instances that did not fit, until a configuration comes into force.
	wholeNeeded atomic.Bool
	// freshness is how current the configuration is.
	freshness *cover.Freshness
	// backlog is since when a newer configuration has been known to exist.
	backlog *cover.Backlog
	// proof shows how long ago a key that is in force here may have been withdrawn at most.
	proof *cover.Proof
	// fleetRevision is the store's revision up to which all changes of instances and owners are known; zero requires a complete
	// read.
	fleetRevision atomic.Uint64
	// entryPublished is set while the store is known to hold this instance's entry.
	entryPublished atomic.Bool
	// ownServed is when the store last answered this instance's own call for the configuration; zero after a call that failed.
	// readerAnswered is when a store reader last answered a follow request, whether its own copy was fresh or not.
	ownServed      moment
	readerAnswered moment
	// served are the instances through which the store was lately reached.
	served *servedInstances
}

func newStoreSync(n *Node) *storeSync {
	return &storeSync{
		node: n, freshness: cover.New(n.settings.Clock, cover.MaxAge), backlog: cover.NewBacklog(n.settings.Clock),
		proof: cover.NewProof(n.settings.Clock, n.settings.RevokeLimit), served: newServedInstances(),
	}
}

// outdatedAge is the age from which the configuration counts as outdated: an instance whose store readers do not answer has read the store
// itself by then. It is the shortest time within which a change must be in force.
const outdatedAge = 3 * time.Second

// supersededLimit is how long an instance that knows of a newer configuration still serves by its own. The shortest time within which a change
// must be in force leaves a second for other instances to have it and to say so.
const supersededLimit = 2 * time.Second

// isOutdated reports whether the configuration lacks a change, or may lack one that was confirmed longer than outdatedAge ago.
func (s *storeSync) isOutdated() bool {
	age, known := s.freshness.Age()
	return !known || age > outdatedAge || s.backlog.Lasts() > 0
}

// isSuperseded reports whether the configuration has lacked a change for longer than supersededLimit.
func (s *storeSync) isSuperseded() bool { return s.backlog.Lasts() > supersededLimit }

// newBackoff returns the delays after consecutive failed calls.
func newBackoff() *pause.Backoff { return &pause.Backoff{Min: minRetryDelay, Max: maxRetryDelay} }

// followConfiguration keeps the configuration up to date: it watches the store unless store readers keep it fresh.
func (s *storeSync) followConfiguration(ctx context.Context) {
	n := s.node
	var after types.Revision
	available := true
	failures, watches := 0, 0
	backoff := newBackoff()
	changes := cover.Changes{}
	for ctx.Err() == nil {
		if s.waitWhileFresh(ctx, cover.MaxAge) {
			after, failures = 0, 0
			continue
		}
		version := n.configurationVersion()
		if after == 0 {
			s.awaitFirst(ctx)
			if s.awaitTurn(ctx, failures); s.isFresh() {
				continue
			}
			if after = s.readConfiguration(ctx, &available, backoff); after == 0 {
				failures++
				continue
			}
			watches = 0
		} else if after = s.watchConfiguration(ctx, after); after == 0 {
			pause.For(ctx, backoff.Next())
			continue
		} else if watches++; s.proof.Needed() && watches >= s.watchesPerRead() {
			after = 0
		}
		backoff.Reset()
		if n.configurationVersion() > version {
			wait, newestOnly := changes.Record(n.settings.Clock.Now())
			if newestOnly {
				after = 0
			}
			pause.For(ctx, wait)
		}
	}
}

// watchConfiguration waits for changes of the configuration after the revision and applies them. It returns the revision to watch from,
// zero when the store did not answer.
func (s *storeSync) watchConfiguration(ctx context.Context, after types.Revision) types.Revision {
	n := s.node
	sent, wait := n.settings.Clock.Now(), s.watchTimeout()
	items, next, err := n.store.Watch(ctx, n.settings.Formats.ConfigurationPrefix, after, wait)
	s.recordServed(sent, err)
	if err != nil {
		return 0
	}
	for _, item := range items {
		s.applyConfiguration(item, fromStore)
	}
	s.freshness.RecordWatch(sent, wait, len(items))
	return next
}

// readConfiguration reads the configuration from the store, or from another instance when the store does not answer. It
// returns the revision to watch from, zero when the store did not answer.
func (s *storeSync) readConfiguration(ctx context.Context, available *bool, backoff *pause.Backoff) types.Revision {
	n := s.node
	sent := n.settings.Clock.Now()
	store := n.store
	if s.leavesStoreToReaders() {
		// The readers have tried the other ways to the store.
		store = n.directStore
	}
	ctxRead, cancel := s.untilFresh(ctx)
	defer cancel()
	items, revision, err := store.Range(ctxRead, n.settings.Formats.ConfigurationPrefix)
	if err != nil && ctxRead.Err() != nil {
		return 0
	}
	s.recordServed(sent, err)
	if err == nil {
		s.logStoreState(available, true, "")
		understood, shown := true, routes.Version(0)
		for _, item := range items {
			version, ok := s.applyConfiguration(item, fromStore)
			understood, shown = understood && ok, max(shown, version)
		}
		s.freshness.RecordRead(sent)
		if understood && !n.eras.restoredWithin(restorationPeriod) {
			s.proof.RecordRead(sent, shown)
		}
		if len(items) == 0 {
			pause.For(ctx, backoff.Next())
		}
		return revision
	}
	s.logStoreState(available, false, err.Error())
	s.fetchFromPeers(ctx)
	pause.For(ctx, backoff.Next())
	return 0
}

// recordServed records whether the store answered a call of this instance that was sent at the given time.
func (s *storeSync) recordServed(sent clock.Moment, err error) {
	if err != nil {
		sent = 0
	}
	s.ownServed.set(sent)
}

// logStoreState logs that the store has become available or unavailable.
func (s *storeSync) logStoreState(available *bool, answers bool, reason string) {
	if *available == answers {
		return
	}
	*available = answers
	if answers {
		s.node.logger.Info("store available again")
		return
	}
	s.node.logger.Warn("store unavailable", "reason", reason)
}
