package trace

import (
	"time"

	"turmericpulley/core/types"
)

const (
	// DefaultCapacity is the number of requests that an instance's recorder holds.
	DefaultCapacity = 4096
	// maxEventsPerTrace is the largest number of events that one trace holds.
	maxEventsPerTrace = 32
	// shardCount is the number of shards; each has its own lock.
	shardCount = 16
	// shardShift leaves the highest four bits of a hashed id, which select one of the 16 shards.
	shardShift = 60
	// hashMultiplier hashes ids so that consecutive ones spread over all shards (2^64 divided by the golden ratio).
	hashMultiplier = 0x9E3779B97F4A7C15
)

// Recorder holds the traces of the latest requests; it is safe for concurrent use.
type Recorder struct {
	instance types.InstanceID
	shards   [shardCount]*shard
}

// New returns a recorder of the instance that holds about capacity requests.
func New(instance types.InstanceID, capacity int) *Recorder {
	r := &Recorder{instance: instance}
	for i := range r.shards {
		r.shards[i] = newShard(max(1, (capacity+shardCount-1)/shardCount))
	}
	return r
}

// Begin starts the trace of a request; it does nothing when the request already has one.
func (r *Recorder) Begin(
	id types.RequestID, customer types.AccountID, database types.DatabaseID, session types.SessionName,
) {
	r.shard(id).begin(Trace{
		RequestID: ID(id),
		Instance:  r.instance,
		Customer:  customer,
		Database:  database,
		Session:   session,
	})
}

// Add appends an event to the trace of a request; it ignores requests without a trace.
func (r *Recorder) Add(id types.RequestID, event Event) {
	if event.At.IsZero() {
		event.At = time.Now()
	}
	r.shard(id).add(id, event)
}

// Find returns a copy of the trace of a request.
func (r *Recorder) Find(id types.RequestID) (Trace, bool) { return r.shard(id).find(id) }

func (r *Recorder) shard(id types.RequestID) *shard {
	return r.shards[uint64(id)*hashMultiplier>>shardShift]
}
