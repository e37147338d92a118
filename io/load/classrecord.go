package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"turmericpulley/core/audit"
)

const (
	shortestLatency   = 1
	longestLatency    = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
)

// classRecord holds the statistics of one class; latencies are in microseconds.
type classRecord struct {
	latencies *hdrhistogram.Histogram
	counts    map[audit.Outcome]int
	refusals  map[audit.SQLState]int
	missed    int
}

func newClassRecord() *classRecord {
	return &classRecord{
		latencies: hdrhistogram.New(shortestLatency, longestLatency, significantDigits),
		counts:    map[audit.Outcome]int{},
		refusals:  map[audit.SQLState]int{},
	}
}

func (c *classRecord) add(s sample) {
	c.counts[s.outcome]++
	if s.outcome == audit.Acknowledged {
		latency := min(max(s.latency().Microseconds(), shortestLatency), longestLatency)
		_ = c.latencies.RecordValue(latency)
	}
}

func (c *classRecord) result(class Class) ClassResult {
	return ClassResult{
		Class:        class,
		Acknowledged: c.counts[audit.Acknowledged],
		NotRun:       c.counts[audit.NotRun],
		Unknown:      c.counts[audit.Unknown],
		Failed:       c.counts[audit.Failed],
		Missed:       c.missed,
		P50:          c.quantile(50),
		P99:          c.quantile(99),
		Max:          milliseconds(time.Duration(c.latencies.Max()) * time.Microsecond),
		Percentiles:  c.percentiles(),
	}
}

func (c *classRecord) quantile(percent float64) Milliseconds {
	return milliseconds(time.Duration(c.latencies.ValueAtQuantile(percent)) * time.Microsecond)
}

// percentiles returns the points of the latency curve for plots.
func (c *classRecord) percentiles() []Percentile {
	points := []float64{0, 10, 25, 50, 75, 90, 95, 99, 99.5, 99.9, 99.99, 100}
	curve := make([]Percentile, 0, len(points))
	for _, p := range points {
		curve = append(curve, Percentile{Percent: p, Latency: c.quantile(p)})
	}
	return curve
}
