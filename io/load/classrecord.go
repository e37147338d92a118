package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"turmericpulley/core/audit"
)

const (
	minLatencyMicros  = 1
	maxLatencyMicros  = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
)

// classStatistics holds the statistics of one class; latencies are in microseconds.
type classStatistics struct {
	latencies *hdrhistogram.Histogram
	counts    map[audit.Outcome]int
	refusals  map[audit.SQLState]int
	missed    int
}

func newClassStatistics() *classStatistics {
	return &classStatistics{
		latencies: hdrhistogram.New(minLatencyMicros, maxLatencyMicros, significantDigits),
		counts:    map[audit.Outcome]int{},
		refusals:  map[audit.SQLState]int{},
	}
}

func (c *classStatistics) add(s sample) {
	c.counts[s.outcome]++
	if s.outcome == audit.Acknowledged {
		latency := min(max(s.latency().Microseconds(), minLatencyMicros), maxLatencyMicros)
		_ = c.latencies.RecordValue(latency)
	}
}

func (c *classStatistics) result(class Class) ClassResult {
	return ClassResult{
		Class:        class,
		Acknowledged: c.counts[audit.Acknowledged],
		NotRun:       c.counts[audit.NotRun],
		Unknown:      c.counts[audit.Unknown],
		Failed:       c.counts[audit.Failed],
		Missed:       c.missed,
		P50:          c.quantile(50),
		P99:          c.quantile(99),
		Max:          toMilliseconds(time.Duration(c.latencies.Max()) * time.Microsecond),
		Percentiles:  c.percentiles(),
	}
}

func (c *classStatistics) quantile(percent float64) Milliseconds {
	return toMilliseconds(time.Duration(c.latencies.ValueAtQuantile(percent)) * time.Microsecond)
}

// percentiles returns the points of the latency curve for plots.
func (c *classStatistics) percentiles() []Percentile {
	points := []float64{0, 10, 25, 50, 75, 90, 95, 99, 99.5, 99.9, 99.99, 100}
	curve := make([]Percentile, 0, len(points))
	for _, p := range points {
		curve = append(curve, Percentile{Percent: p, Latency: c.quantile(p)})
	}
	return curve
}
