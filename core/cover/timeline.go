package cover

import (
	"sync"
	"time"

	"turmericpulley/core/clock"
	"turmericpulley/core/types"
)

const (
	// timelineSpan is how long a sample is kept. It exceeds the time for which a leaving member may be used.
	timelineSpan = 15 * time.Second
	// sampleInterval is the shortest time between two samples, which bounds their number.
	sampleInterval = 200 * time.Millisecond
)

// Timeline records when the store was at which revision; it is safe for concurrent use. Revisions order the changes of the store for
// all instances, while their clocks cannot be compared: with its own timeline, an instance finds out how old a change may be of which
// another instance tells only the revision.
type Timeline struct {
	mu      sync.Mutex
	samples []revisionSample
}

// revisionSample is a call that was sent at a moment and answered at a revision: the store had no later one at that moment.
type revisionSample struct {
	sent     clock.Moment
	revision types.Revision
}

// Record records the revision in the store's answer to a call that was sent at the moment. A sample before the latest one is ignored.
func (t *Timeline) Record(revision types.Revision, sent clock.Moment) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if count := len(t.samples); count > 0 {
		last := t.samples[count-1]
		if sent <= last.sent || revision < last.revision {
			return
		}
		// A later moment at the same revision replaces the earlier one, and so does a sample soon after one that is kept.
		if revision == last.revision || count > 1 && sent.Sub(t.samples[count-2].sent) < sampleInterval {
			t.samples = t.samples[:count-1]
		}
	}
	t.samples = append(t.samples, revisionSample{sent, revision})
	for len(t.samples) > 1 && sent.Sub(t.samples[0].sent) > timelineSpan {
		t.samples = t.samples[1:]
	}
}

// Before returns the latest known moment at which the store had no change after the revision. It is zero when none is known.
func (t *Timeline) Before(revision types.Revision) clock.Moment {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := len(t.samples) - 1; i >= 0; i-- {
		if t.samples[i].revision <= revision {
			return t.samples[i].sent
		}
	}
	return 0
}
