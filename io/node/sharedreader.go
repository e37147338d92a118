package node

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/singleflight"

	"turmericpulley/core/clock"
	"turmericpulley/core/types"
)

// storeReading is one complete, linearizable read of the items with a prefix: when it was sent, the revision of the store that it showed,
// and the items of each database.
type storeReading struct {
	sent       clock.Moment
	revision   types.Revision
	byDatabase map[types.DatabaseID][]Item
}

// sharedReader reads all items with a prefix. Callers that need them at the same moment share one call to the store, and so do the followers
// of a store reader.
type sharedReader struct {
	node   *Node
	prefix string
	// databaseOf returns the database that an item belongs to; false leaves the item out. complete, which may be nil, gets all items of a read.
	databaseOf func(item Item) (types.DatabaseID, bool)
	complete   func(items []Item, revision types.Revision)
	calls      singleflight.Group

	// rests is set where a read must not be so frequent that reading takes most of this instance's processor time or of its link.
	rests bool

	mu   sync.Mutex
	last storeReading
	// restsUntil is the end of the rest after the last read.
	restsUntil clock.Moment
	// failed is when the last read failed; zero after one that did not.
	failed moment
}

const (
	// sharedReadTimeout bounds how long a store reader holds a follower's request for a shared read. With followTimeout it stays below
	// followAnswerMargin, so that a store that does not answer does not make the reader look silent.
	sharedReadTimeout = 250 * time.Millisecond
	// failedReadPause is the time after a failed read during which followers get none.
	failedReadPause = time.Second
	// restFactor is how many times as long as its last read a reader that rests does so, for maxRest at most.
	restFactor = 4
	maxRest    = time.Second
	// maxHandedAge is the age up to which a read that was made before is handed on in place of one that takes too long. With entriesInterval,
	// after which an owner asks again, it stays below the 7 s for which a leaving member runs statements.
	maxHandedAge = 3 * time.Second
)

// recent returns a read that is at most as old as maxAge, or as maxHandedAge during a rest.
func (r *sharedReader) recent(ctx context.Context, maxAge time.Duration) (storeReading, error) {
	if r.isResting() {
		maxAge = max(maxAge, maxHandedAge)
	}
	if last, found := r.lastWithin(maxAge); found {
		return last, nil
	}
	select {
	case result := <-r.calls.DoChan("", func() (any, error) { return r.read() }):
		reading, _ := result.Val.(storeReading)
		return reading, result.Err
	case <-ctx.Done():
		return storeReading{}, errors.Wrap(ctx.Err(), "waiting for a read of "+r.prefix)
	}
}

// isResting reports whether the last read was so recent, for the time that it took, that there should be none.
func (r *sharedReader) isResting() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rests && r.node.settings.Clock.Until(r.restsUntil) > 0
}

// lastWithin returns the last read if it is at most as old as maxAge.
func (r *sharedReader) lastWithin(maxAge time.Duration) (storeReading, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.last, r.last.byDatabase != nil && r.node.settings.Clock.Since(r.last.sent) <= maxAge
}

// read reads the items from the store.
func (r *sharedReader) read() (storeReading, error) {
	n := r.node
	sent := n.settings.Clock.Now()
	items, revision, err := n.store.Range(n.ctx, r.prefix)
	if err != nil {
		r.failed.set(n.settings.Clock.Now())
		return storeReading{}, err
	}
	r.failed.set(0)
	reading := storeReading{sent: sent, revision: revision, byDatabase: map[types.DatabaseID][]Item{}}
	for _, item := range items {
		if database, usable := r.databaseOf(item); usable {
			reading.byDatabase[database] = append(reading.byDatabase[database], item)
		}
	}
	if r.complete != nil {
		r.complete(items, revision)
	}
	now := n.settings.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.restsUntil = now.Add(min(restFactor*now.Sub(sent), maxRest))
	if sent > r.last.sent {
		r.last = reading
	}
	return reading, nil
}

// forFollower returns a read that is at most as old as maxAge for a follower, or an older one when that takes too long; none when the store
// does not serve this instance.
func (r *sharedReader) forFollower(maxAge time.Duration) (storeReading, bool) {
	n := r.node
	if n.storeSync.freshness.Remaining() == 0 || r.failed.isWithin(failedReadPause, n.settings.Clock.Now()) {
		return storeReading{}, false
	}
	ctx, cancel := context.WithTimeout(n.ctx, sharedReadTimeout)
	defer cancel()
	reading, err := r.recent(ctx, maxAge)
	if err != nil {
		n.logger.Debug("store not read for a follower", "prefix", r.prefix, "error", err)
		return r.lastWithin(maxHandedAge)
	}
	return reading, true
}
