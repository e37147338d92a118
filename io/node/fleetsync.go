package node

import (
	"context"
	"encoding/json"
	"slices"
	"strings"

	"turmericpulley/core/fault"
	"turmericpulley/core/pause"
	"turmericpulley/core/types"
)

// followFleet keeps the instances and owners up to date, and this instance's entry in the store.
func (s *storeSync) followFleet(ctx context.Context) {
	n := s.node
	incomplete := false
	backoff := newBackoff()
	var era types.Era
	for ctx.Err() == nil {
		if current, _ := n.eras.current(); current != era {
			// The store may have lost this instance's entry, and everything else that was written lately.
			era, incomplete = current, true
			s.entryPublished.Store(false)
		}
		after := types.Revision(s.fleetRevision.Load())
		if after == 0 || incomplete && !s.leavesStoreToReaders() {
			incomplete = !s.readFleet(ctx, backoff)
			continue
		}
		if !s.entryPublished.Load() {
			s.entryPublished.Store(s.publishEntry(ctx))
		}
		if s.entryPublished.Load() && s.waitWhileFresh(ctx, instanceBatchDelay) {
			continue
		}
		if s.entryPublished.Load() && s.leavesStoreToReaders() {
			pause.For(ctx, freshnessCheckInterval)
			continue
		}
		items, next, err := n.store.Watch(ctx, fleetPrefix, after, fleetWatchTimeout)
		if err != nil {
			// The store may have dropped the history since the revision, so that it has to be read completely. A store reader
			// that answers meanwhile gives the changes since that revision as well.
			incomplete = true
			pause.For(ctx, backoff.Next())
			continue
		}
		backoff.Reset()
		s.applyFleet(items, next)
		switch {
		case slices.ContainsFunc(items, isOwnerRecord):
			pause.For(ctx, ownerBatchDelay)
		case len(items) > 0:
			pause.For(ctx, instanceBatchDelay)
		}
	}
}

// readFleet reads all instances and owners from the store, and reports whether the store answered.
func (s *storeSync) readFleet(ctx context.Context, backoff *pause.Backoff) bool {
	n := s.node
	items, revision, err := n.store.Range(ctx, fleetPrefix)
	if err != nil {
		pause.For(ctx, backoff.Next())
		return false
	}
	s.applyFleet(items, revision)
	n.directory.dropMissing(fleetPrefix, items, revision)
	own := instanceKey(n.settings.Self.ID)
	if !slices.ContainsFunc(items, func(item Item) bool { return item.Key == own }) {
		s.entryPublished.Store(false)
	}
	return true
}

// isOwnerRecord reports whether the item is the record of a database's owner.
func isOwnerRecord(item Item) bool { return strings.HasPrefix(item.Key, ownersPrefix) }

// applyFleet applies items that include all changes up to the revision, and records when this instance's entry is gone.
func (s *storeSync) applyFleet(items []Item, revision types.Revision) {
	for _, item := range items {
		if s.node.directory.apply(item) {
			s.entryPublished.Store(false)
		}
	}
	for known := s.fleetRevision.Load(); uint64(revision) > known && !s.fleetRevision.CompareAndSwap(known, uint64(revision)); {
		known = s.fleetRevision.Load()
	}
	if len(items) > 0 {
		// Followers that wait for these changes get them once they are complete.
		s.node.directory.wake()
	}
}

// publishEntry writes this instance's entry, which holds its address, into the store and reports whether the store holds it.
func (s *storeSync) publishEntry(ctx context.Context) bool {
	n := s.node
	value, err := json.Marshal(n.settings.Self)
	if err != nil {
		n.logger.Error("instance entry not written", "error", err)
		return false
	}
	key := instanceKey(n.settings.Self.ID)
	if _, err = n.store.Put(ctx, key, value, n.directory.revision(key)); err == nil {
		return true
	}
	if failure := fault.From(err); failure == nil || failure.Kind != fault.RevisionConflict {
		n.logger.Warn("instance entry not written", "error", err)
		pause.For(ctx, minRetryDelay)
	}
	// The known revision of the entry may be out of date, and a write whose answer was lost may have taken effect.
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
