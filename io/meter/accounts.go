package meter

import (
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"turmericpulley/core/usage"
)

const (
	accountLabel = "account"
	outcomeLabel = "outcome"
)

// outcomeNames are the labels of the outcomes.
var outcomeNames = map[usage.Outcome]string{
	usage.Answered: "answered", usage.Failed: "failed", usage.OverLimit: "over_limit", usage.NotProved: "not_proved",
}

// accountCollector publishes the counts of client accounts, which are kept elsewhere and read at each scrape.
type accountCollector struct {
	read                            func() []usage.Entry
	statements, latency, connection *prometheus.Desc
}

// PublishAccounts publishes the counts of client accounts. The number of entries bounds the number of series.
func (m *Meter) PublishAccounts(read func() []usage.Entry) error {
	name := func(name string) string { return prometheus.BuildFQName(namespace, "account", name) }
	return errors.Wrap(m.registry.Register(&accountCollector{
		read:       read,
		statements: prometheus.NewDesc(name("statements_total"), "Statements of client accounts by outcome.", []string{accountLabel, outcomeLabel}, nil),
		latency: prometheus.NewDesc(name("latency_seconds"), "Time to answer statements of client accounts, without those refused for the limit or key.",
			[]string{accountLabel}, nil),
		connection: prometheus.NewDesc(name("member_connections"), "Connections to members held for client accounts.", []string{accountLabel}, nil),
	}), "publishing the counts of accounts")
}

// Describe implements prometheus.Collector.
func (c *accountCollector) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- c.statements
	descriptions <- c.latency
	descriptions <- c.connection
}

// Collect implements prometheus.Collector.
func (c *accountCollector) Collect(metrics chan<- prometheus.Metric) {
	for _, e := range c.read() {
		account := string(e.Account)
		for outcome, name := range outcomeNames {
			metrics <- prometheus.MustNewConstMetric(c.statements, prometheus.CounterValue, float64(e.Outcomes[outcome]), account, name)
		}
		buckets, below := make(map[float64]uint64, len(usage.Bounds)), uint64(0)
		for i, bound := range usage.Bounds {
			below += e.Buckets[i]
			buckets[bound.Seconds()] = below
		}
		count := below + e.Buckets[len(usage.Bounds)]
		metrics <- prometheus.MustNewConstHistogram(c.latency, count, e.Seconds, buckets, account)
		metrics <- prometheus.MustNewConstMetric(c.connection, prometheus.GaugeValue, float64(e.Connections), account)
	}
}
