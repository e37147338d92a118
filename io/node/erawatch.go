package node

import (
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"turmericpulley/core/clock"
	"turmericpulley/core/types"
)

// eraWatch tells since when this instance has known the era of the store; it is safe for concurrent use.
type eraWatch struct {
	store  Store
	clock  clock.Clock
	logger hclog.Logger

	mu    sync.Mutex
	era   types.Era
	since clock.Moment
	// restored is set when the era has changed since the start of this instance.
	restored bool
}

// current returns the era of the store, zero before the first answer, and since when it is known here.
func (w *eraWatch) current() (types.Era, clock.Moment) {
	era := w.store.Era()
	w.mu.Lock()
	defer w.mu.Unlock()
	if era > w.era {
		w.restored = w.era != 0
		w.era, w.since = era, w.clock.Now()
		if w.restored {
			w.logger.Warn("store restored from an older copy", "era", uint64(era))
		}
	}
	return w.era, w.since
}

// age returns for how long the era of the store has been known here.
func (w *eraWatch) age() time.Duration {
	_, since := w.current()
	return w.clock.Since(since)
}

// restoredWithin reports whether this instance has noticed a restoration of the store within the period before now.
func (w *eraWatch) restoredWithin(period time.Duration) bool {
	age := w.age()
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.restored && age < period
}
