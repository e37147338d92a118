package trace

import (
	"time"

	"turmericpulley/core/types"
)

const (
	// DefaultCapacity is the number of requests that a recorder usually remembers.
	DefaultCapacity = 4096
	// maxEventsPerTrace is the most events that one trail holds.
	maxEventsPerTrace = 32
	// shardCount spreads the requests over locks.
	shardCount = 16
	// shardShift takes a shard from the highest bits of a mixed id.
	shardShift = 60
	// hashMultiplier spreads ids that follow each other over all shards.
	hashMultiplier = 0x9E3779B97F4A7C15
)

// Recorder remembers the trails of the latest requests; it is safe for concurrent use.
type Recorder struct {
	instance types.InstanceID
	shards   [shardCount]*shard
}

// New returns a recorder of the instance that remembers about as many requests as its capacity.
func New(instance types.InstanceID, capacity int) *Recorder {
	r := &Recorder{instance: instance}
	for i := range r.shards {
		r.shards[i] = newShard(max(1, (capacity+shardCount-1)/shardCount))
	}
	return r
}

// Begin starts the trail of a request; a second start of the same request changes nothing.
func (r *Recorder) Begin(
	id types.RequestID, customer types.CustomerID, database types.DatabaseID, session types.SessionName,
) {
	r.shard(id).begin(Trace{
		RequestID: ID(id),
		Instance:  r.instance,
		Customer:  customer,
		Database:  database,
		Session:   session,
	})
}

// Add appends an event to the trail of a request; requests without a trail are ignored.
func (r *Recorder) Add(id types.RequestID, event Event) {
	if event.At.IsZero() {
		event.At = time.Now()
	}
	r.shard(id).add(id, event)
}

// Find returns a copy of the trail of a request.
func (r *Recorder) Find(id types.RequestID) (Trace, bool) { return r.shard(id).find(id) }

func (r *Recorder) shard(id types.RequestID) *shard {
	return r.shards[uint64(id)*hashMultiplier>>shardShift]
}
