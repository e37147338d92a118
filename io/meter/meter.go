package meter

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	exporter "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"

	"turmericpulley/core/fault"
	"turmericpulley/core/types"
)

const (
	namespace = "turmericpulley"
	// maxSeries bounds the series of one metric; more customers share one overflow series.
	maxSeries = 20_000
	// unknownCustomer stands for names without a contract, which callers choose freely.
	unknownCustomer types.CustomerID = "unknown"
)

// Meter holds the metrics of one instance; it is safe for concurrent use.
type Meter struct {
	provider        *sdk.MeterProvider
	meter           metric.Meter
	handler         http.Handler
	requests        metric.Float64Histogram
	queueWaits      metric.Float64Histogram
	refusals        metric.Int64Counter
	failovers       metric.Int64Counter
	promotions      metric.Int64Counter
	failoverGaps    metric.Float64Histogram
	optionsBySeries sync.Map
}

// New returns a meter with a registry of its own.
func New() (*Meter, error) {
	registry := prometheus.NewRegistry()
	reader, err := exporter.New(
		exporter.WithRegisterer(registry),
		exporter.WithNamespace(namespace),
		exporter.WithoutScopeInfo(),
		exporter.WithoutTargetInfo(),
	)
	if err != nil {
		return nil, errors.Wrap(err, "creating the Prometheus exporter")
	}
	provider := sdk.NewMeterProvider(sdk.WithReader(reader), sdk.WithCardinalityLimit(maxSeries))
	m := &Meter{
		provider: provider,
		meter:    provider.Meter(namespace),
		handler:  promhttp.HandlerFor(registry, promhttp.HandlerOpts{}),
	}
	if err := m.createInstruments(); err != nil {
		return nil, err
	}
	return m, nil
}

// Handler answers scrapes in Prometheus text.
func (m *Meter) Handler() http.Handler { return m.handler }

// RecordRequest measures one finished request.
func (m *Meter) RecordRequest(request Request) {
	ctx := context.Background()
	series := requestSeries{customer: request.Customer, class: request.Class}
	m.requests.Record(ctx, request.Elapsed.Seconds(), m.seriesOption(series))
}

// RecordQueueWait measures how long a request of the customer waited for a connection.
func (m *Meter) RecordQueueWait(customer types.CustomerID, waited time.Duration) {
	m.queueWaits.Record(context.Background(), waited.Seconds(), m.seriesOption(queueSeries{customer: customer}))
}

// CountRefusal counts a request of the customer that was refused with the kind.
func (m *Meter) CountRefusal(customer types.CustomerID, kind fault.Kind) {
	if kind == fault.UnknownCustomer {
		customer = unknownCustomer
	}
	m.refusals.Add(context.Background(), 1, m.seriesOption(refusalSeries{customer: customer, kind: kind}))
}

// CountFailover counts a database that lost its primary and measures the time without one.
func (m *Meter) CountFailover(gap time.Duration) {
	m.failovers.Add(context.Background(), 1)
	m.failoverGaps.Record(context.Background(), gap.Seconds())
}

// CountPromotion counts a promotion that this instance carried out.
func (m *Meter) CountPromotion() { m.promotions.Add(context.Background(), 1) }

// Close stops the meter.
func (m *Meter) Close() error {
	return errors.Wrap(m.provider.Shutdown(context.Background()), "stopping the meter")
}

// labelledSeries is a series that can describe itself to OpenTelemetry.
type labelledSeries interface {
	attributes() metric.MeasurementOption
}

// seriesOption returns the attributes of a series, built once for each.
func (m *Meter) seriesOption(series labelledSeries) metric.MeasurementOption {
	if option, known := m.optionsBySeries.Load(series); known {
		return option.(metric.MeasurementOption)
	}
	option, _ := m.optionsBySeries.LoadOrStore(series, series.attributes())
	return option.(metric.MeasurementOption)
}
