package node

import (
	"context"
	"sync/atomic"
	"time"

	"turmericpulley/core/clock"
	"turmericpulley/core/cover"
	"turmericpulley/core/pause"
	"turmericpulley/core/routes"
	"turmericpulley/core/types"
	"turmericpulley/io/logs"
	"turmericpulley/io/wire"
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
	// newestConfiguration is the newest configuration of the operator as it is sent to other instances, sealed; nil before the first.
	newestConfiguration atomic.Pointer[sealedConfiguration]
	// freshness is how current the configuration is.
	freshness *cover.Freshness
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

// sealedConfiguration is the configuration in force as it is sent to other instances.
type sealedConfiguration struct {
	Item
	version routes.Version
}

func newStoreSync(n *Node) *storeSync {
	return &storeSync{
		node: n, freshness: cover.New(n.settings.Clock, cover.MaxAge),
		proof: cover.NewProof(n.settings.Clock, n.settings.RevokeLimit), served: newServedInstances(),
	}
}

// outdatedAge is the age from which the configuration counts as outdated: an instance whose store readers do not answer has read the store
// itself by then. It is the shortest time within which a change must be in force.
const outdatedAge = 3 * time.Second

// isOutdated reports whether the configuration may lack a change that was confirmed longer than outdatedAge ago.
func (s *storeSync) isOutdated() bool {
	age, known := s.freshness.Age()
	return !known || age > outdatedAge
}

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
		s.applyConfiguration(item)
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
	items, revision, err := store.Range(ctx, n.settings.Formats.ConfigurationPrefix)
	s.recordServed(sent, err)
	if err == nil {
		s.logStoreState(available, true, "")
		understood, shown := true, routes.Version(0)
		for _, item := range items {
			version, ok := s.applyConfiguration(item)
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

// applyConfiguration puts a configuration into force if its version is newer than the current one, and returns its version; zero for an item
// that holds none. It reports false when the configuration cannot be understood, and may then withdraw keys that are in force here.
func (s *storeSync) applyConfiguration(item Item) (routes.Version, bool) {
	n := s.node
	if item.Key != n.settings.Formats.ConfigurationKey || item.Deleted {
		return 0, true
	}
	if newest := s.newestConfiguration.Load(); newest != nil && newest.Revision == item.Revision {
		return newest.version, true
	}
	table, err := n.settings.Formats.ParseConfiguration(item.Value)
	if err != nil {
		n.unreadableConfigurations.Add(1)
		n.logger.Error("configuration cannot be parsed", "revision", item.Revision, "error", err)
		return 0, false
	}
	s.proof.Notice(table.Version)
	if !n.routes.UpdateIfNewer(table) {
		return table.Version, true
	}
	if item.Value, err = n.settings.Formats.SealConfiguration(item.Value); err != nil {
		n.logger.Error("configuration cannot be sent to other instances", "revision", item.Revision, "error", err)
		item.Value = nil
	}
	s.newestConfiguration.Store(&sealedConfiguration{item, table.Version})
	n.logger.Info("configuration in force", "version", int64(table.Version), "revision", item.Revision, "routes", len(table.Routes),
		"accounts", table.Accounts.Len())
	for _, problem := range table.Accounts.Problems() {
		n.logger.Error("client accounts of the configuration", "version", int64(table.Version), "problem", logs.Text(problem))
	}
	return table.Version, true
}

// applyPeerConfiguration applies the configuration in another instance's message, and reports whether it held one.
func (s *storeSync) applyPeerConfiguration(message *wire.Configuration) bool {
	if len(message.GetValue()) == 0 {
		return false
	}
	s.applyConfiguration(Item{
		Key: s.node.settings.Formats.ConfigurationKey, Value: message.GetValue(), Revision: types.Revision(message.GetRevision()),
	})
	return true
}

// configurationMessage returns the newest configuration as it is sent to other instances; it is empty before the first.
func (s *storeSync) configurationMessage() *wire.Configuration {
	newest := s.newestConfiguration.Load()
	if newest == nil {
		return &wire.Configuration{}
	}
	return &wire.Configuration{Value: newest.Value, Revision: uint64(newest.Revision)}
}

// configurationVersion returns the version of the configuration in force, zero before the first.
func (n *Node) configurationVersion() int64 {
	if t := n.routes.Table(); t != nil {
		return int64(t.Version)
	}
	return 0
}

// fetchFromPeers asks other instances for their configuration until one of them has one.
func (s *storeSync) fetchFromPeers(ctx context.Context) {
	n := s.node
	for _, address := range n.otherAddresses(maxRelayPeers) {
		reply, err := n.call(ctx, address, &wire.Call{Kind: &wire.Call_ConfigurationQuery{ConfigurationQuery: &wire.ConfigurationQuery{}}})
		if err != nil {
			continue
		}
		if s.applyPeerConfiguration(reply.GetConfigurationValue()) {
			return
		}
	}
}
