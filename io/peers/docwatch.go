package peers

import (
	"context"
	"sync"
	"time"

	"turmericpulley/core/fleet"
	"turmericpulley/core/pause"
	"turmericpulley/core/relay"
	"turmericpulley/core/types"
)

const (
	// documentWait is how long a listing of documents waits for a change; half of the freshness bound, so that its end
	// still confirms.
	documentWait = time.Second
	// membershipWait is how long a listing of the membership waits for a change.
	membershipWait = 2 * time.Second
	// mostWatchPause bounds the pause after a failed listing.
	mostWatchPause = time.Second
)

// docwatch follows one prefix of the store while the instance is a watcher of its data centre.
type docwatch struct {
	node    *node
	prefix  string
	wait    time.Duration
	take    func(page relay.Page)
	cancel  context.CancelFunc
	running sync.WaitGroup
}

// newDocwatch starts following the prefix; held returns the revision that the instance knows at the beginning, and take
// uses each answer.
func newDocwatch(
	n *node, prefix string, wait time.Duration, held func() types.Revision, take func(relay.Page),
) *docwatch {
	ctx, cancel := context.WithCancel(context.Background())
	d := &docwatch{node: n, prefix: prefix, wait: wait, take: take, cancel: cancel}
	changes := n.changes.subscribe()
	d.running.Go(func() {
		for ctx.Err() == nil {
			if n.isStoreWatcher() {
				d.follow(ctx, held())
				continue
			}
			select {
			case <-ctx.Done():
			case <-changes:
			}
		}
	})
	return d
}

func (d *docwatch) close() {
	d.cancel()
	d.running.Wait()
}

// follow lists changes after the revision for as long as the instance is a watcher; the first listing does not wait, so
// that it confirms at once.
func (d *docwatch) follow(ctx context.Context, after types.Revision) {
	retries := newBackoff(leastStorePause, mostWatchPause)
	wait := time.Duration(0)
	for ctx.Err() == nil && d.node.isStoreWatcher() {
		sent := time.Now()
		page, err := d.list(ctx, after, wait)
		if err != nil {
			pause.For(ctx, retries.pause())
			continue
		}
		retries.Reset()
		d.take(page)
		after = max(after, page.Revision)
		d.node.records.confirmed(d.prefix, relay.ConfirmedAt(sent, time.Now(), wait, len(page.Entries)))
		wait = d.wait
	}
}

func (d *docwatch) list(ctx context.Context, after types.Revision, wait time.Duration) (relay.Page, error) {
	ctx, cancel := storeContext(ctx, wait)
	defer cancel()
	d.node.counters.StoreCalls.Add(1)
	page, err := d.node.settings.Store.List(ctx, d.prefix, after, wait)
	if err != nil {
		d.node.counters.StoreFailures.Add(1)
	}
	return page, err
}

// isStoreWatcher reports whether the instance watches the store for its data centre.
func (n *node) isStoreWatcher() bool {
	self := n.roster.own()
	return fleet.ContainsID(n.roster.current().StoreWatchers(self.DataCentre), self.ID)
}
