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
	// documentListWait is how long a listing of documents waits for a change. It is half of the greatest age of documents
	// that may be used, so that a listing without a change still confirms in time that they are current.
	documentListWait = time.Second
	// membershipListWait is how long a listing of the membership waits for a change.
	membershipListWait = 2 * time.Second
	// maxWatchBackoff bounds the pause after a failed listing.
	maxWatchBackoff = time.Second
)

// prefixWatch watches one prefix of the store while this instance is a store watcher of its data centre.
type prefixWatch struct {
	node       *node
	prefix     string
	wait       time.Duration
	apply      func(page relay.Page)
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
}

// newPrefixWatch starts to watch the prefix. Each time this instance becomes a store watcher, it lists the changes
// after the revision that held returns; apply is called with each page.
func newPrefixWatch(
	n *node, prefix string, wait time.Duration, held func() types.Revision, apply func(relay.Page),
) *prefixWatch {
	ctx, cancel := context.WithCancel(context.Background())
	w := &prefixWatch{node: n, prefix: prefix, wait: wait, apply: apply, cancel: cancel}
	changes := n.changes.subscribe()
	w.goroutines.Go(func() {
		for ctx.Err() == nil {
			if n.isStoreWatcher() {
				w.follow(ctx, held())
				continue
			}
			select {
			case <-ctx.Done():
			case <-changes:
			}
		}
	})
	return w
}

func (w *prefixWatch) close() {
	w.cancel()
	w.goroutines.Wait()
}

// follow lists the changes after the revision for as long as this instance is a store watcher. The first listing does
// not wait for a change, so that it confirms at once that the documents are current.
func (w *prefixWatch) follow(ctx context.Context, after types.Revision) {
	retries := newBackoff(minStoreBackoff, maxWatchBackoff)
	wait := time.Duration(0)
	for ctx.Err() == nil && w.node.isStoreWatcher() {
		sent := time.Now()
		page, err := w.list(ctx, after, wait)
		if err != nil {
			pause.For(ctx, retries.nextJittered())
			continue
		}
		retries.Reset()
		w.apply(page)
		after = max(after, page.Revision)
		w.node.documents.recordStore(w.prefix, relay.ConfirmedAt(sent, time.Now(), wait, len(page.Entries)))
		wait = w.wait
	}
}

func (w *prefixWatch) list(ctx context.Context, after types.Revision, wait time.Duration) (relay.Page, error) {
	ctx, cancel := storeContext(ctx, wait)
	defer cancel()
	w.node.counters.StoreCalls.Add(1)
	page, err := w.node.settings.Store.List(ctx, w.prefix, after, wait)
	if err != nil {
		w.node.counters.StoreFailures.Add(1)
	}
	return page, err
}

// isStoreWatcher reports whether this instance watches the store for its data centre.
func (n *node) isStoreWatcher() bool {
	self := n.membership.localInstance()
	return fleet.ContainsID(n.membership.current().StoreWatchers(self.DataCentre), self.ID)
}
