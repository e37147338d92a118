package load

import (
	"maps"
	"sync"

	"turmericpulley/core/audit"
)

// recorder collects the samples and statistics of all callers.
type recorder struct {
	mutex   sync.Mutex
	samples []sample
	classes map[Class]*classStatistics
	totals  totals
}

// totals counts requests by outcome; refused counts those that did not run or failed.
type totals struct {
	requests           int
	acknowledged       int
	acknowledgedWrites int
	unknown            int
	refused            int
}

func newRecorder(classes []Class) *recorder {
	r := &recorder{classes: map[Class]*classStatistics{}}
	for _, class := range classes {
		r.classes[class] = newClassStatistics()
	}
	return r
}

// record adds a finished request.
func (r *recorder) record(s sample) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.samples = append(r.samples, s)
	r.classes[s.class].add(s)
	r.totals.add(s)
}

// recordUnacknowledgedAttempt counts an attempt that was not acknowledged, by its SQLSTATE.
func (r *recorder) recordUnacknowledgedAttempt(class Class, state audit.SQLState) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.classes[class].unacknowledgedAttempts[state]++
}

// recordMissed counts a request that was not sent because the queue of its session was full.
func (r *recorder) recordMissed(class Class) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.classes[class].missed++
}

// snapshot returns the totals so far.
func (r *recorder) snapshot() totals {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.totals
}

// results returns the statistics of each class in the given order.
func (r *recorder) results(classes []Class) []ClassResult {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	results := make([]ClassResult, 0, len(classes))
	for _, class := range classes {
		statistics := r.classes[class]
		result := statistics.result(class)
		result.UnacknowledgedAttempts = maps.Clone(statistics.unacknowledgedAttempts)
		results = append(results, result)
	}
	return results
}

func (t *totals) add(s sample) {
	t.requests++
	switch s.outcome {
	case audit.Acknowledged:
		t.acknowledged++
		if s.isWrite {
			t.acknowledgedWrites++
		}
	case audit.Unknown:
		t.unknown++
	case audit.NotRun, audit.Failed:
		t.refused++
	}
}
