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
	// readerWait is how long a reader's watch for the configuration waits, and followWait how long it holds a follower's
	// question: both together stay below the age up to which evidence covers a follower.
	readerWait = 700 * time.Millisecond
	followWait = 700 * time.Millisecond
	// followSlack is how long after the end of followWait the answer may still come.
	followSlack = 400 * time.Millisecond
	// readersPause is the time between two looks for readers of the data centre, and followPause follows one that does not
	// answer.
	readersPause = 500 * time.Millisecond
	followPause  = 100 * time.Millisecond
	// gatherPause collects instances that come and go together into one answer.
	gatherPause = 200 * time.Millisecond
	// relayedBytes is the largest configuration that readers pass on. Thirteen followers share the 10 Mbit/s of the smallest
	// machines, so that a larger one would hold up its other work for more than a third of a second.
	relayedBytes = 32 << 10
	// followPatience is how long a configuration that other instances have is awaited from the reader.
	followPatience = 300 * time.Millisecond
)

// readers returns the instances that follow the store for this one; none when it follows the store itself.
func (n *Node) readers() []fleet.Instance {
	if n.isReader() {
		return nil
	}
	return n.roster.readers()
}

// isReader reports whether this instance follows the store for others.
func (n *Node) isReader() bool {
	return slices.ContainsFunc(n.roster.readers(), func(i fleet.Instance) bool { return i.ID == n.settings.Self.ID })
}

// watchWait returns how long a watch for the configuration waits; readers answer for the age of what they tell others.
func (f *feed) watchWait() time.Duration {
	if f.node.isReader() {
		return readerWait
	}
	return configurationWait
}

// rest waits while the readers cover this instance, at most for the span, and reports whether it did: the store need not be
// asked meanwhile.
func (f *feed) rest(ctx context.Context, most time.Duration) bool {
	if !f.isCovered() {
		return false
	}
	pause.For(ctx, min(f.evidence.Left(), most))
	return true
}

// isCovered reports whether this instance follows readers and what they told it is recent enough.
func (f *feed) isCovered() bool { return f.evidence.Left() > 0 && len(f.node.readers()) > 0 }

// comes waits for a version that other instances have, while a reader is about to bring it, and reports whether it came.
func (f *feed) comes(ctx context.Context, version int64) bool {
	if !f.isCovered() {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, followPatience)
	defer cancel()
	for {
		changed := f.node.routes.Changed()
		if f.node.version() >= version {
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
func (f *feed) followReaders(ctx context.Context) {
	for turn := 0; ctx.Err() == nil; turn++ {
		readers := f.node.readers()
		if len(readers) == 0 || f.complete.Load() == 0 {
			pause.For(ctx, readersPause)
			continue
		}
		f.followReader(ctx, readers[turn%len(readers)])
		pause.For(ctx, followPause)
	}
}

// followReader asks one reader for changes until it does not answer, is not covered itself or is no reader any more.
func (f *feed) followReader(ctx context.Context, reader fleet.Instance) {
	n := f.node
	channel, err := n.open(ctx, reader)
	if err != nil {
		n.logger.Debug("reader not reached", "reader", reader.ID, "error", err)
		return
	}
	defer channel.Close()
	defer context.AfterFunc(ctx, channel.Close)()
	for ctx.Err() == nil && f.complete.Load() != 0 && slices.Contains(n.readers(), reader) {
		if !f.ask(ctx, channel, reader) {
			return
		}
	}
}

// ask asks a reader once and reports whether its answer was of use.
func (f *feed) ask(ctx context.Context, channel *peers.Channel, reader fleet.Instance) bool {
	n := f.node
	sent := n.settings.Clock.Now()
	reply, err := n.exchange(time.Now().Add(followWait+followSlack), channel, &wire.Call{Kind: &wire.Call_Follow{Follow: &wire.Follow{
		FleetRevision: f.complete.Load(), WaitMs: uint32(followWait.Milliseconds()),
	}}})
	followed := reply.GetFollowed()
	if err != nil || followed == nil || !followed.GetCovered() {
		n.logger.Debug("reader is of no use", "reader", reader.ID, "error", err)
		return false
	}
	f.takePassed(followed.GetConfiguration())
	items := make([]Item, 0, len(followed.GetItems()))
	for _, i := range followed.GetItems() {
		items = append(items, Item{
			Key: i.GetKey(), Value: i.GetValue(), Revision: types.Revision(i.GetRevision()), Deleted: i.GetDeleted(),
		})
	}
	f.takeFleet(items, types.Revision(followed.GetFleetRevision()))
	if reply.GetConfiguration() > n.version() {
		// The reader knows a configuration that is too large to pass on, and answers at once until this instance has read it.
		return pause.For(ctx, followPause)
	}
	held, age := time.Duration(followed.GetHeldMs())*time.Millisecond, time.Duration(followed.GetAgeMs())*time.Millisecond
	f.evidence.Told(sent, held, age)
	return true
}

// followed answers a follower as soon as there is a change, or at the end of its wait.
func (f *feed) followed(question *wire.Follow, version int64) *wire.Followed {
	n := f.node
	began := n.settings.Clock.Now()
	f.awaitChange(question, version)
	answer := &wire.Followed{FleetRevision: f.complete.Load()}
	if passed := f.toPass(); n.version() > version && len(passed.GetValue()) <= relayedBytes {
		answer.Configuration = passed
	}
	for _, i := range n.roster.since(types.Revision(question.GetFleetRevision())) {
		answer.Items = append(answer.Items, &wire.StoreItem{
			Key: i.Key, Value: i.Value, Revision: uint64(i.Revision), Deleted: i.Deleted,
		})
	}
	age, _ := f.evidence.Age()
	answer.Covered = f.evidence.Left() > 0
	answer.AgeMs = uint32((age + time.Millisecond - 1).Milliseconds())
	answer.HeldMs = uint32(n.settings.Clock.Since(began).Milliseconds())
	return answer
}

// awaitChange waits for a newer configuration, or for instances or owners that changed.
func (f *feed) awaitChange(question *wire.Follow, version int64) {
	n := f.node
	wait := min(time.Duration(question.GetWaitMs())*time.Millisecond, followWait)
	ctx, cancel := context.WithTimeout(n.ctx, wait)
	defer cancel()
	for {
		configuration, instances := n.routes.Changed(), n.roster.watch()
		items := n.roster.since(types.Revision(question.GetFleetRevision()))
		switch {
		case n.version() > version || slices.ContainsFunc(items, isOwner):
			return
		case len(items) > 0:
			pause.For(ctx, gatherPause)
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
