package node

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"turmericpulley/core/cover"
	"turmericpulley/core/fault"
	"turmericpulley/core/pause"
	"turmericpulley/core/types"
	"turmericpulley/io/wire"
)

const (
	// configurationWatchTimeout is how long a watch for the configuration waits: a connection that went silent is noticed within
	// it, and a change must be in force within 3 s.
	configurationWatchTimeout = 2500 * time.Millisecond
	// fleetWatchTimeout is how long a watch for instances and owners waits; these say only where to go.
	fleetWatchTimeout = 20 * time.Second
	// instanceBatchDelay collects instances that come and go together, and ownerPause changes of owners.
	instanceBatchDelay = 400 * time.Millisecond
	ownerBatchDelay    = 50 * time.Millisecond
	// configurationBatchDelay collects changes that follow each other, since each answer of a watch has its price.
	configurationBatchDelay = 150 * time.Millisecond
	// minRetryDelay follows a call that failed; it doubles with each further failure up to maxRetryPause, which bounds the
	// calls of all instances while the store is away and the time until its return is noticed.
	minRetryDelay = 250 * time.Millisecond
	maxRetryDelay = time.Second
)

// storeSync follows the store.
type storeSync struct {
	node *Node
	// newestConfiguration is the operator's newest configuration as the store held it; nil before the first.
	newestConfiguration atomic.Pointer[Item]
	// freshness tells how current the configuration is.
	freshness *cover.Freshness
	// fleetRevision is the revision of the store up to which all instances and owners are known; zero when that is not known.
	fleetRevision atomic.Uint64
	// announced tells that the store holds this instance's entry.
	announced atomic.Bool
}

func newStoreSync(n *Node) *storeSync {
	return &storeSync{node: n, freshness: cover.New(n.settings.Clock)}
}

// newBackoff returns the pauses after failures in a row.
func newBackoff() *pause.Backoff { return &pause.Backoff{Min: minRetryDelay, Max: maxRetryDelay} }

// followConfiguration keeps the configuration current.
func (f *storeSync) followConfiguration(ctx context.Context) {
	n := f.node
	var after types.Revision
	available := true
	failures := newBackoff()
	for ctx.Err() == nil {
		if f.waitWhileFresh(ctx, cover.MaxAge) {
			after = 0
			continue
		}
		if after == 0 {
			after = f.readConfiguration(ctx, &available, failures)
			continue
		}
		sent, wait := n.settings.Clock.Now(), f.watchTimeout()
		items, next, err := n.store.Watch(ctx, n.settings.Formats.ConfigurationPrefix, after, wait)
		if err != nil {
			after = 0
			pause.For(ctx, failures.Next())
			continue
		}
		failures.Reset()
		for _, i := range items {
			f.applyConfiguration(i)
		}
		f.freshness.RecordWatch(sent, wait, len(items))
		after = next
		if len(items) > 0 && !pause.For(ctx, configurationBatchDelay) {
			return
		}
	}
}

// readConfiguration reads the whole configuration, from another instance when the store does not answer.
func (f *storeSync) readConfiguration(ctx context.Context, available *bool, failures *pause.Backoff) types.Revision {
	n := f.node
	sent := n.settings.Clock.Now()
	items, revision, err := n.store.Range(ctx, n.settings.Formats.ConfigurationPrefix)
	if err == nil {
		f.logStoreState(available, true, "")
		for _, i := range items {
			f.applyConfiguration(i)
		}
		f.freshness.RecordRead(sent)
		if len(items) == 0 {
			pause.For(ctx, failures.Next())
		}
		return revision
	}
	f.logStoreState(available, false, err.Error())
	f.fetchFromPeers(ctx)
	pause.For(ctx, failures.Next())
	return 0
}

func (f *storeSync) logStoreState(available *bool, now bool, reason string) {
	if *available == now {
		return
	}
	*available = now
	if now {
		f.node.logger.Info("store regained")
		return
	}
	f.node.logger.Warn("store lost", "reason", reason)
}

// applyConfiguration takes a version that is newer than the present one.
func (f *storeSync) applyConfiguration(i Item) {
	n := f.node
	if i.Key != n.settings.Formats.Configuration || i.Deleted {
		return
	}
	table, err := n.settings.Formats.ParseConfiguration(i.Value)
	if err != nil {
		n.unreadableConfigurations.Add(1)
		n.logger.Error("configuration not understood", "revision", i.Revision, "error", err)
		return
	}
	if !n.routes.UpdateIfNewer(table) {
		return
	}
	f.newestConfiguration.Store(&i)
	n.logger.Info("configuration in force", "version", int64(table.Version), "revision", i.Revision, "routes", len(table.Routes))
}

// applyPeerConfiguration takes a configuration that another instance passed on, and reports whether there was one.
func (f *storeSync) applyPeerConfiguration(c *wire.Configuration) bool {
	if len(c.GetValue()) == 0 {
		return false
	}
	f.applyConfiguration(Item{
		Key: f.node.settings.Formats.Configuration, Value: c.GetValue(), Revision: types.Revision(c.GetRevision()),
	})
	return true
}

// configurationMessage returns the newest configuration as it is passed on to other instances; it is empty before the first.
func (f *storeSync) configurationMessage() *wire.Configuration {
	newest := f.newestConfiguration.Load()
	if newest == nil {
		return &wire.Configuration{}
	}
	return &wire.Configuration{Value: newest.Value, Revision: uint64(newest.Revision)}
}

// configurationVersion returns the version of the configuration in force.
func (n *Node) configurationVersion() int64 {
	if t := n.routes.Table(); t != nil {
		return int64(t.Version)
	}
	return 0
}

// fetchFromPeers asks other instances for a newer configuration.
func (f *storeSync) fetchFromPeers(ctx context.Context) {
	n := f.node
	for _, address := range n.otherAddresses(maxRelayPeers) {
		reply, err := n.call(ctx, address, &wire.Call{Kind: &wire.Call_ConfigurationQuery{ConfigurationQuery: &wire.ConfigurationQuery{}}})
		if err != nil {
			continue
		}
		if f.applyPeerConfiguration(reply.GetConfigurationValue()) {
			return
		}
	}
}

// followFleet keeps instances and owners current and this instance announced.
func (f *storeSync) followFleet(ctx context.Context) {
	n := f.node
	failures := newBackoff()
	for ctx.Err() == nil {
		after := types.Revision(f.fleetRevision.Load())
		if after == 0 {
			f.readFleet(ctx, failures)
			continue
		}
		if !f.announced.Load() {
			f.announced.Store(f.announce(ctx))
		}
		if f.announced.Load() && f.waitWhileFresh(ctx, instanceBatchDelay) {
			continue
		}
		items, next, err := n.store.Watch(ctx, fleetPrefix, after, fleetWatchTimeout)
		if err != nil {
			f.fleetRevision.Store(0)
			pause.For(ctx, failures.Next())
			continue
		}
		failures.Reset()
		f.applyFleet(items, next)
		switch {
		case slices.ContainsFunc(items, isOwner):
			pause.For(ctx, ownerBatchDelay)
		case len(items) > 0:
			pause.For(ctx, instanceBatchDelay)
		}
	}
}

// readFleet reads all instances and owners.
func (f *storeSync) readFleet(ctx context.Context, failures *pause.Backoff) {
	n := f.node
	items, revision, err := n.store.Range(ctx, fleetPrefix)
	if err != nil {
		pause.For(ctx, failures.Next())
		return
	}
	f.applyFleet(items, revision)
	n.directory.dropMissing(fleetPrefix, items, revision)
	own := instanceKey(n.settings.Self.ID)
	if !slices.ContainsFunc(items, func(i Item) bool { return i.Key == own }) {
		f.announced.Store(false)
	}
}

func isOwner(i Item) bool { return strings.HasPrefix(i.Key, ownersPrefix) }

// applyFleet notes items that are complete up to the revision, and whether this instance's entry is gone.
func (f *storeSync) applyFleet(items []Item, revision types.Revision) {
	for _, i := range items {
		if f.node.directory.apply(i) {
			f.announced.Store(false)
		}
	}
	for known := f.fleetRevision.Load(); uint64(revision) > known && !f.fleetRevision.CompareAndSwap(known, uint64(revision)); {
		known = f.fleetRevision.Load()
	}
}

// announce writes where this instance can be reached.
func (f *storeSync) announce(ctx context.Context) bool {
	n := f.node
	value, err := json.Marshal(n.settings.Self)
	if err != nil {
		n.logger.Error("instance not announced", "error", err)
		return false
	}
	key := instanceKey(n.settings.Self.ID)
	if _, err = n.store.Put(ctx, key, value, n.directory.revision(key)); err == nil {
		return true
	}
	if kind := fault.From(err); kind == nil || kind.Kind != fault.RevisionConflict {
		n.logger.Warn("instance not announced", "error", err)
		pause.For(ctx, minRetryDelay)
	}
	// What is known of the entry may be out of date, and a write whose answer was lost may have taken effect.
	present, found, err := n.store.Get(ctx, key)
	if err != nil {
		return false
	}
	if !found {
		n.directory.markDeleted(key)
		return false
	}
	n.directory.apply(present)
	return string(present.Value) == string(value)
}
