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
	// maxSeries bounds the series of one metric; customers beyond it share one overflow series.
	maxSeries = 20_000
	// unknownCustomer replaces the name of a customer without a contract in the count of refusals. Callers choose such names
	// freely, and each name would add a series.
	unknownCustomer types.AccountID = "unknown"
)

// Meter holds the metrics of one instance; it is safe for concurrent use.
type Meter struct {
	registry     *prometheus.Registry
	provider     *sdk.MeterProvider
	meter        metric.Meter
	handler      http.Handler
	requests     metric.Float64Histogram
	queueWaits   metric.Float64Histogram
	refusals     metric.Int64Counter
	failovers    metric.Int64Counter
	promotions   metric.Int64Counter
	failoverGaps metric.Float64Histogram
	// optionsBySeries caches a metric.MeasurementOption for each labelledSeries.
	optionsBySeries sync.Map
}

// New returns a meter with its own Prometheus registry.
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
		registry: registry,
		provider: provider,
		meter:    provider.Meter(namespace),
		handler:  promhttp.HandlerFor(registry, promhttp.HandlerOpts{}),
	}
	if err := m.createInstruments(); err != nil {
		return nil, err
	}
	return m, nil
}

// Handler serves the metrics in the Prometheus text format.
func (m *Meter) Handler() http.Handler { return m.handler }

// RecordRequest records the duration of one finished request.
func (m *Meter) RecordRequest(request Request) {
	ctx := context.Background()
	series := requestSeries{customer: request.Customer, class: request.Class}
	m.requests.Record(ctx, request.Elapsed.Seconds(), m.seriesOption(series))
}

// RecordQueueWait records how long a request of the customer waited for a connection.
func (m *Meter) RecordQueueWait(customer types.AccountID, wait time.Duration) {
	m.queueWaits.Record(context.Background(), wait.Seconds(), m.seriesOption(queueWaitSeries{customer: customer}))
}

// CountRefusal counts a refused request of the customer with the kind of refusal.
func (m *Meter) CountRefusal(customer types.AccountID, kind fault.Kind) {
	if kind == fault.UnknownCustomer {
		customer = unknownCustomer
	}
	m.refusals.Add(context.Background(), 1, m.seriesOption(refusalSeries{customer: customer, kind: kind}))
}

// CountFailover counts the replacement of a database's primary and records the time without a primary.
func (m *Meter) CountFailover(gap time.Duration) {
	m.failovers.Add(context.Background(), 1)
	m.failoverGaps.Record(context.Background(), gap.Seconds())
}

// CountPromotion counts a promotion that this instance carried out.
func (m *Meter) CountPromotion() { m.promotions.Add(context.Background(), 1) }

// Close shuts down the meter provider.
func (m *Meter) Close() error {
	return errors.Wrap(m.provider.Shutdown(context.Background()), "stopping the meter")
}

// labelledSeries identifies a series by its labels. Its implementations are comparable, so that they can be keys of
// optionsBySeries.
type labelledSeries interface {
	attributes() metric.MeasurementOption
}

// seriesOption returns the attributes of a series, which are built once per series.
func (m *Meter) seriesOption(series labelledSeries) metric.MeasurementOption {
	if option, found := m.optionsBySeries.Load(series); found {
		return option.(metric.MeasurementOption)
	}
	option, _ := m.optionsBySeries.LoadOrStore(series, series.attributes())
	return option.(metric.MeasurementOption)
}
