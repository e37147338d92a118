package node

import (
	"context"
	"slices"
	"time"

	"turmericpulley/core/fleet"
	"turmericpulley/core/pause"
	"turmericpulley/core/types"
	"turmericpulley/io/peers"
	"turmericpulley/io/wire"
)

const (
	// readerWatchTimeout is how long a reader's watch for the configuration waits, and followWait how long it holds a follower's
	// question: both together stay below the age up to which evidence covers a follower.
	readerWatchTimeout = 700 * time.Millisecond
	followTimeout      = 700 * time.Millisecond
	// followAnswerMargin is how long after the end of followWait the answer may still come.
	followAnswerMargin = 400 * time.Millisecond
	// readersInterval is the time between two looks for readers of the data centre, and followPause follows one that does not
	// answer.
	readersInterval  = 500 * time.Millisecond
	followRetryDelay = 100 * time.Millisecond
	// followBatchDelay collects instances that come and go together into one answer.
	followBatchDelay = 200 * time.Millisecond
	// maxForwardedBytes is the largest configuration that readers pass on. Thirteen followers share the 10 Mbit/s of the smallest
	// machines, so that a larger one would hold up its other work for more than a third of a second.
	maxForwardedBytes = 32 << 10
	// readerVersionTimeout is how long a configuration that other instances have is awaited from the reader.
	readerVersionTimeout = 300 * time.Millisecond
)

// readers returns the instances that follow the store for this one; none when it follows the store itself.
func (n *Node) readers() []fleet.Instance {
	if n.isReader() {
		return nil
	}
	return n.directory.readers()
}

// isReader reports whether this instance follows the store for others.
func (n *Node) isReader() bool {
	return slices.ContainsFunc(n.directory.readers(), func(i fleet.Instance) bool { return i.ID == n.settings.Self.ID })
}

// watchTimeout returns how long a watch for the configuration waits; readers answer for the age of what they tell others.
func (f *storeSync) watchTimeout() time.Duration {
	if f.node.isReader() {
		return readerWatchTimeout
	}
	return configurationWatchTimeout
}

// waitWhileFresh waits while the readers cover this instance, at most for the span, and reports whether it did: the store need not be
// asked meanwhile.
func (f *storeSync) waitWhileFresh(ctx context.Context, most time.Duration) bool {
	if !f.isFresh() {
		return false
	}
	pause.For(ctx, min(f.freshness.Remaining(), most))
	return true
}

// isFresh reports whether this instance follows readers and what they told it is recent enough.
func (f *storeSync) isFresh() bool { return f.freshness.Remaining() > 0 && len(f.node.readers()) > 0 }

// awaitVersion waits for a version that other instances have, while a reader is about to bring it, and reports whether it came.
func (f *storeSync) awaitVersion(ctx context.Context, version int64) bool {
	if !f.isFresh() {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, readerVersionTimeout)
	defer cancel()
	for {
		changed := f.node.routes.Changed()
		if f.node.configurationVersion() >= version {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// followReaders asks the readers of the data centre for changes, one reader as long as it answers.
func (f *storeSync) followReaders(ctx context.Context) {
	for turn := 0; ctx.Err() == nil; turn++ {
		readers := f.node.readers()
		if len(readers) == 0 || f.fleetRevision.Load() == 0 {
			pause.For(ctx, readersInterval)
			continue
		}
		f.followReader(ctx, readers[turn%len(readers)])
		pause.For(ctx, followRetryDelay)
	}
}

// followReader asks one reader for changes until it does not answer, is not covered itself or is no reader any more.
func (f *storeSync) followReader(ctx context.Context, reader fleet.Instance) {
	n := f.node
	channel, err := n.openChannel(ctx, reader)
	if err != nil {
		n.logger.Debug("reader not reached", "reader", reader.ID, "error", err)
		return
	}
	defer channel.Close()
	defer context.AfterFunc(ctx, channel.Close)()
	for ctx.Err() == nil && f.fleetRevision.Load() != 0 && slices.Contains(n.readers(), reader) {
		if !f.followOnce(ctx, channel, reader) {
			return
		}
	}
}

// followOnce asks a reader once and reports whether its answer was of use.
func (f *storeSync) followOnce(ctx context.Context, channel *peers.Channel, reader fleet.Instance) bool {
	n := f.node
	sent := n.settings.Clock.Now()
	reply, err := n.exchange(time.Now().Add(followTimeout+followAnswerMargin), channel, &wire.Call{Kind: &wire.Call_Follow{Follow: &wire.Follow{
		FleetRevision: f.fleetRevision.Load(), WaitMs: uint32(followTimeout.Milliseconds()),
	}}})
	followed := reply.GetFollowed()
	if err != nil || followed == nil || !followed.GetCovered() {
		n.logger.Debug("reader is of no use", "reader", reader.ID, "error", err)
		return false
	}
	f.applyPeerConfiguration(followed.GetConfiguration())
	items := make([]Item, 0, len(followed.GetItems()))
	for _, i := range followed.GetItems() {
		items = append(items, Item{
			Key: i.GetKey(), Value: i.GetValue(), Revision: types.Revision(i.GetRevision()), Deleted: i.GetDeleted(),
		})
	}
	f.applyFleet(items, types.Revision(followed.GetFleetRevision()))
	if reply.GetConfiguration() > n.configurationVersion() {
		// The reader knows a configuration that is too large to pass on, and answers at once until this instance has read it.
		return pause.For(ctx, followRetryDelay)
	}
	held, age := time.Duration(followed.GetHeldMs())*time.Millisecond, time.Duration(followed.GetAgeMs())*time.Millisecond
	f.freshness.RecordPeer(sent, held, age)
	return true
}

// serveFollow answers a follower as soon as there is a change, or at the end of its wait.
func (f *storeSync) serveFollow(question *wire.Follow, version int64) *wire.Followed {
	n := f.node
	began := n.settings.Clock.Now()
	f.awaitChange(question, version)
	answer := &wire.Followed{FleetRevision: f.fleetRevision.Load()}
	if passed := f.configurationMessage(); n.configurationVersion() > version && len(passed.GetValue()) <= maxForwardedBytes {
		answer.Configuration = passed
	}
	for _, i := range n.directory.changedSince(types.Revision(question.GetFleetRevision())) {
		answer.Items = append(answer.Items, &wire.StoreItem{
			Key: i.Key, Value: i.Value, Revision: uint64(i.Revision), Deleted: i.Deleted,
		})
	}
	age, _ := f.freshness.Age()
	answer.Covered = f.freshness.Remaining() > 0
	answer.AgeMs = uint32((age + time.Millisecond - 1).Milliseconds())
	answer.HeldMs = uint32(n.settings.Clock.Since(began).Milliseconds())
	return answer
}

// awaitChange waits for a newer configuration, or for instances or owners that changed.
func (f *storeSync) awaitChange(question *wire.Follow, version int64) {
	n := f.node
	wait := min(time.Duration(question.GetWaitMs())*time.Millisecond, followTimeout)
	ctx, cancel := context.WithTimeout(n.ctx, wait)
	defer cancel()
	for {
		configuration, instances := n.routes.Changed(), n.directory.nextChange()
		items := n.directory.changedSince(types.Revision(question.GetFleetRevision()))
		switch {
		case n.configurationVersion() > version || slices.ContainsFunc(items, isOwner):
			return
		case len(items) > 0:
			pause.For(ctx, followBatchDelay)
			return
		}
		select {
		case <-configuration:
		case <-instances:
		case <-ctx.Done():
			return
		}
	}
}
