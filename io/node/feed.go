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
	// configurationWait is how long a watch for the configuration waits: a connection that went silent is noticed within
	// it, and a change must be in force within 3 s.
	configurationWait = 2500 * time.Millisecond
	// fleetWait is how long a watch for instances and owners waits; these say only where to go.
	fleetWait = 20 * time.Second
	// joinPause collects instances that come and go together, and ownerPause changes of owners.
	joinPause  = 400 * time.Millisecond
	ownerPause = 50 * time.Millisecond
	// batchPause collects changes that follow each other, since each answer of a watch has its price.
	batchPause = 150 * time.Millisecond
	// retryPause follows a call that failed; it doubles with each further failure up to maxRetryPause, which bounds the
	// calls of all instances while the store is away and the time until its return is noticed.
	retryPause    = 250 * time.Millisecond
	maxRetryPause = time.Second
)

// feed follows the store.
type feed struct {
	node *Node
	// newest is the operator's newest configuration as the store held it; nil before the first.
	newest atomic.Pointer[Item]
	// evidence tells how current the configuration is.
	evidence *cover.Evidence
	// complete is the revision of the store up to which all instances and owners are known; zero when that is not known.
	complete atomic.Uint64
	// announced tells that the store holds this instance's entry.
	announced atomic.Bool
}

func newFeed(n *Node) *feed { return &feed{node: n, evidence: cover.New(n.settings.Clock)} }

// newFailures returns the pauses after failures in a row.
func newFailures() *pause.Backoff { return &pause.Backoff{Least: retryPause, Most: maxRetryPause} }

// followConfiguration keeps the configuration current.
func (f *feed) followConfiguration(ctx context.Context) {
	n := f.node
	var after types.Revision
	available := true
	failures := newFailures()
	for ctx.Err() == nil {
		if f.rest(ctx, cover.Limit) {
			after = 0
			continue
		}
		if after == 0 {
			after = f.readConfiguration(ctx, &available, failures)
			continue
		}
		sent, wait := n.settings.Clock.Now(), f.watchWait()
		items, next, err := n.store.Watch(ctx, n.settings.Formats.ConfigurationPrefix, after, wait)
		if err != nil {
			after = 0
			pause.For(ctx, failures.Next())
			continue
		}
		failures.Reset()
		for _, i := range items {
			f.takeConfiguration(i)
		}
		f.evidence.Watched(sent, wait, len(items))
		after = next
		if len(items) > 0 && !pause.For(ctx, batchPause) {
			return
		}
	}
}

// readConfiguration reads the whole configuration, from another instance when the store does not answer.
func (f *feed) readConfiguration(ctx context.Context, available *bool, failures *pause.Backoff) types.Revision {
	n := f.node
	sent := n.settings.Clock.Now()
	items, revision, err := n.store.Range(ctx, n.settings.Formats.ConfigurationPrefix)
	if err == nil {
		f.tellStore(available, true, "")
		for _, i := range items {
			f.takeConfiguration(i)
		}
		f.evidence.Read(sent)
		if len(items) == 0 {
			pause.For(ctx, failures.Next())
		}
		return revision
	}
	f.tellStore(available, false, err.Error())
	f.askPeers(ctx)
	pause.For(ctx, failures.Next())
	return 0
}

func (f *feed) tellStore(available *bool, now bool, reason string) {
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

// takeConfiguration takes a version that is newer than the present one.
func (f *feed) takeConfiguration(i Item) {
	n := f.node
	if i.Key != n.settings.Formats.Configuration || i.Deleted {
		return
	}
	table, err := n.settings.Formats.ParseConfiguration(i.Value)
	if err != nil {
		n.unreadable.Add(1)
		n.logger.Error("configuration not understood", "revision", i.Revision, "error", err)
		return
	}
	if !n.routes.Offer(table) {
		return
	}
	f.newest.Store(&i)
	n.logger.Info("configuration in force", "version", int64(table.Version), "revision", i.Revision, "routes", len(table.Routes))
}

// takePassed takes a configuration that another instance passed on, and reports whether there was one.
func (f *feed) takePassed(c *wire.Configuration) bool {
	if len(c.GetValue()) == 0 {
		return false
	}
	f.takeConfiguration(Item{
		Key: f.node.settings.Formats.Configuration, Value: c.GetValue(), Revision: types.Revision(c.GetRevision()),
	})
	return true
}

// toPass returns the newest configuration as it is passed on to other instances; it is empty before the first.
func (f *feed) toPass() *wire.Configuration {
	newest := f.newest.Load()
	if newest == nil {
		return &wire.Configuration{}
	}
	return &wire.Configuration{Value: newest.Value, Revision: uint64(newest.Revision)}
}

// version returns the version of the configuration in force.
func (n *Node) version() int64 {
	if t := n.routes.Table(); t != nil {
		return int64(t.Version)
	}
	return 0
}

// askPeers asks other instances for a newer configuration.
func (f *feed) askPeers(ctx context.Context) {
	n := f.node
	for _, address := range n.others(relayPeers) {
		reply, err := n.call(ctx, address, &wire.Call{Kind: &wire.Call_ConfigurationQuery{ConfigurationQuery: &wire.ConfigurationQuery{}}})
		if err != nil {
			continue
		}
		if f.takePassed(reply.GetConfigurationValue()) {
			return
		}
	}
}

// followFleet keeps instances and owners current and this instance announced.
func (f *feed) followFleet(ctx context.Context) {
	n := f.node
	failures := newFailures()
	for ctx.Err() == nil {
		after := types.Revision(f.complete.Load())
		if after == 0 {
			f.readFleet(ctx, failures)
			continue
		}
		if !f.announced.Load() {
			f.announced.Store(f.announce(ctx))
		}
		if f.announced.Load() && f.rest(ctx, joinPause) {
			continue
		}
		items, next, err := n.store.Watch(ctx, fleetPrefix, after, fleetWait)
		if err != nil {
			f.complete.Store(0)
			pause.For(ctx, failures.Next())
			continue
		}
		failures.Reset()
		f.takeFleet(items, next)
		switch {
		case slices.ContainsFunc(items, isOwner):
			pause.For(ctx, ownerPause)
		case len(items) > 0:
			pause.For(ctx, joinPause)
		}
	}
}

// readFleet reads all instances and owners.
func (f *feed) readFleet(ctx context.Context, failures *pause.Backoff) {
	n := f.node
	items, revision, err := n.store.Range(ctx, fleetPrefix)
	if err != nil {
		pause.For(ctx, failures.Next())
		return
	}
	f.takeFleet(items, revision)
	n.roster.retain(fleetPrefix, items, revision)
	own := instanceKey(n.settings.Self.ID)
	if !slices.ContainsFunc(items, func(i Item) bool { return i.Key == own }) {
		f.announced.Store(false)
	}
}

func isOwner(i Item) bool { return strings.HasPrefix(i.Key, ownersPrefix) }

// takeFleet notes items that are complete up to the revision, and whether this instance's entry is gone.
func (f *feed) takeFleet(items []Item, revision types.Revision) {
	for _, i := range items {
		if f.node.roster.take(i) {
			f.announced.Store(false)
		}
	}
	for known := f.complete.Load(); uint64(revision) > known && !f.complete.CompareAndSwap(known, uint64(revision)); {
		known = f.complete.Load()
	}
}

// announce writes where this instance can be reached.
func (f *feed) announce(ctx context.Context) bool {
	n := f.node
	value, err := json.Marshal(n.settings.Self)
	if err != nil {
		n.logger.Error("instance not announced", "error", err)
		return false
	}
	key := instanceKey(n.settings.Self.ID)
	if _, err = n.store.Put(ctx, key, value, n.roster.revision(key)); err == nil {
		return true
	}
	if kind := fault.From(err); kind == nil || kind.Kind != fault.RevisionConflict {
		n.logger.Warn("instance not announced", "error", err)
		pause.For(ctx, retryPause)
	}
	// What is known of the entry may be out of date, and a write whose answer was lost may have taken effect.
	present, found, err := n.store.Get(ctx, key)
	if err != nil {
		return false
	}
	if !found {
		n.roster.forget(key)
		return false
	}
	n.roster.take(present)
	return string(present.Value) == string(value)
}
