package meter

import (
	"context"

	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/metric"
)

// durationBuckets are the upper bounds of the histograms' buckets, in seconds.
var durationBuckets = []float64{
	0.0005, 0.001, 0.002, 0.003, 0.005, 0.0075, 0.01, 0.015, 0.02, 0.03, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 30,
}

func (m *Meter) createInstruments() error {
	var err error
	if m.requests, err = m.newDurationHistogram("request", "Time from a request's arrival to the end of its answer."); err != nil {
		return err
	}
	if m.queueWaits, err = m.newDurationHistogram("queue_wait", "Time that a request waited for a connection."); err != nil {
		return err
	}
	if m.failoverGaps, err = m.newDurationHistogram("failover_gap", "Time that a database was without a primary."); err != nil {
		return err
	}
	if m.refusals, err = m.newCounter("refusals", "Requests that were refused without effect."); err != nil {
		return err
	}
	if m.failovers, err = m.newCounter("failovers", "Databases that lost their primary and got another."); err != nil {
		return err
	}
	m.promotions, err = m.newCounter("promotions", "Promotions that this instance carried out.")
	return err
}

func (m *Meter) newDurationHistogram(name, description string) (metric.Float64Histogram, error) {
	histogram, err := m.meter.Float64Histogram(
		name,
		metric.WithUnit("s"),
		metric.WithDescription(description),
		metric.WithExplicitBucketBoundaries(durationBuckets...),
	)
	return histogram, errors.Wrapf(err, "creating the histogram %s", name)
}

func (m *Meter) newCounter(name, description string) (metric.Int64Counter, error) {
	counter, err := m.meter.Int64Counter(name, metric.WithDescription(description))
	return counter, errors.Wrapf(err, "creating the counter %s", name)
}

// Gauge publishes a value that is read at each scrape.
func (m *Meter) Gauge(name, unit, description string, read func() int64) error {
	_, err := m.meter.Int64ObservableGauge(
		name,
		metric.WithUnit(unit),
		metric.WithDescription(description),
		metric.WithInt64Callback(observe(read)),
	)
	return errors.Wrapf(err, "creating the gauge %s", name)
}

// Counter publishes a counter whose value is read at each scrape and never decreases.
func (m *Meter) Counter(name, unit, description string, read func() int64) error {
	_, err := m.meter.Int64ObservableCounter(
		name,
		metric.WithUnit(unit),
		metric.WithDescription(description),
		metric.WithInt64Callback(observe(read)),
	)
	return errors.Wrapf(err, "creating the counter %s", name)
}

func observe(read func() int64) metric.Int64Callback {
	return func(_ context.Context, observer metric.Int64Observer) error {
		observer.Observe(read())
		return nil
	}
}
