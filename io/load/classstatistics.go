package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"turmericpulley/core/audit"
)

// The latency histogram covers 1 µs to 10 min with three significant digits. Latencies outside count as the nearest bound.
const (
	minLatencyMicros  = 1
	maxLatencyMicros  = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
)

// classStatistics holds the latencies and outcomes of the requests of one class.
type classStatistics struct {
	latencies *hdrhistogram.Histogram
	counts    map[audit.Outcome]int
	// unacknowledgedAttempts counts attempts that were not acknowledged, by SQLSTATE.
	unacknowledgedAttempts map[audit.SQLState]int
	// missed counts requests that were not sent because the queue of their session was full.
	missed int
}

func newClassStatistics() *classStatistics {
	return &classStatistics{
		latencies:              hdrhistogram.New(minLatencyMicros, maxLatencyMicros, significantDigits),
		counts:                 map[audit.Outcome]int{},
		unacknowledgedAttempts: map[audit.SQLState]int{},
	}
}

func (s *classStatistics) add(finished sample) {
	s.counts[finished.outcome]++
	if finished.outcome == audit.Acknowledged {
		latency := min(max(finished.latency().Microseconds(), minLatencyMicros), maxLatencyMicros)
		_ = s.latencies.RecordValue(latency)
	}
}

func (s *classStatistics) result(class Class) ClassResult {
	return ClassResult{
		Class:        class,
		Acknowledged: s.counts[audit.Acknowledged],
		NotRun:       s.counts[audit.NotRun],
		Unknown:      s.counts[audit.Unknown],
		Failed:       s.counts[audit.Failed],
		Missed:       s.missed,
		P50:          s.quantile(50),
		P99:          s.quantile(99),
		Max:          toMilliseconds(time.Duration(s.latencies.Max()) * time.Microsecond),
		Percentiles:  s.percentiles(),
	}
}

func (s *classStatistics) quantile(percent float64) Milliseconds {
	return toMilliseconds(time.Duration(s.latencies.ValueAtQuantile(percent)) * time.Microsecond)
}

// percentiles returns the points of the latency curve that plots draw.
func (s *classStatistics) percentiles() []Percentile {
	points := []float64{0, 10, 25, 50, 75, 90, 95, 99, 99.5, 99.9, 99.99, 100}
	curve := make([]Percentile, 0, len(points))
	for _, p := range points {
		curve = append(curve, Percentile{Percent: p, Latency: s.quantile(p)})
	}
	return curve
}
