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
	// documentListWait is how long a listing of documents waits for a change; half of the freshness bound, so that its end
	// still confirms.
	documentListWait = time.Second
	// membershipListWait is how long a listing of the membership waits for a change.
	membershipListWait = 2 * time.Second
	// maxWatchBackoff bounds the pause after a failed listing.
	maxWatchBackoff = time.Second
)

// prefixWatch follows one prefix of the store while the instance is a watcher of its data centre.
type prefixWatch struct {
	node       *node
	prefix     string
	wait       time.Duration
	apply      func(page relay.Page)
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
}

// newPrefixWatch starts following the prefix; held returns the revision that the instance knows at the beginning, and take
// uses each answer.
func newPrefixWatch(
	n *node, prefix string, wait time.Duration, held func() types.Revision, take func(relay.Page),
) *prefixWatch {
	ctx, cancel := context.WithCancel(context.Background())
	d := &prefixWatch{node: n, prefix: prefix, wait: wait, apply: take, cancel: cancel}
	changes := n.changes.subscribe()
	d.goroutines.Go(func() {
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

func (d *prefixWatch) close() {
	d.cancel()
	d.goroutines.Wait()
}

// follow lists changes after the revision for as long as the instance is a watcher; the first listing does not wait, so
// that it confirms at once.
func (d *prefixWatch) follow(ctx context.Context, after types.Revision) {
	retries := newBackoff(minStoreBackoff, maxWatchBackoff)
	wait := time.Duration(0)
	for ctx.Err() == nil && d.node.isStoreWatcher() {
		sent := time.Now()
		page, err := d.list(ctx, after, wait)
		if err != nil {
			pause.For(ctx, retries.nextJittered())
			continue
		}
		retries.Reset()
		d.apply(page)
		after = max(after, page.Revision)
		d.node.documents.recordStore(d.prefix, relay.ConfirmedAt(sent, time.Now(), wait, len(page.Entries)))
		wait = d.wait
	}
}

func (d *prefixWatch) list(ctx context.Context, after types.Revision, wait time.Duration) (relay.Page, error) {
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
	self := n.membership.localInstance()
	return fleet.ContainsID(n.membership.current().StoreWatchers(self.DataCentre), self.ID)
}
