package load

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"

	"turmericpulley/core/types"
)

const (
	requestMetric = "turmericpulley_request_seconds"
	classLabel    = "class"
	replicaClass  = "replicaRead"
	customerLabel = "customer"
	scrapeTimeout = 3 * time.Second
	// unknownShare stands for a share of replica reads that could not be determined.
	unknownShare = -1
)

// replicaReadCounts holds the number of a customer's reads that replicas have served, by the instance's HTTP address.
type replicaReadCounts map[string]int

// countReplicaReads returns the current counts; instances whose metrics cannot be read are left out.
func countReplicaReads(ctx context.Context, counter ReadCounter, customer types.AccountID) replicaReadCounts {
	counts := replicaReadCounts{}
	switch c := counter.(type) {
	case MetricsCounter:
		for _, address := range c.Addresses {
			if reads, err := scrapeReplicaReads(ctx, address, customer); err == nil {
				counts[address] = reads
			}
		}
	case nil:
	}
	return counts
}

// shareSince returns the share of the given number of reads that replicas served since the earlier counts. It returns
// unknownShare if there are no counts or no reads.
func (c replicaReadCounts) shareSince(earlier replicaReadCounts, reads int) float64 {
	if len(c) == 0 || reads == 0 {
		return unknownShare
	}
	total := 0
	for address, count := range c {
		total += max(0, count-earlier[address])
	}
	return min(1, float64(total)/float64(reads))
}

// scrapeReplicaReads reads the number of replica reads of the customer from the metrics of one instance.
func scrapeReplicaReads(ctx context.Context, address string, customer types.AccountID) (int, error) {
	limited, cancel := context.WithTimeout(ctx, scrapeTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(limited, http.MethodGet, "http://"+address+"/metrics", http.NoBody)
	if err != nil {
		return 0, errors.Wrapf(err, "address %q cannot be used to read metrics", address)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, errors.Wrapf(err, "reading the metrics of %s", address)
	}
	defer func() { _ = response.Body.Close() }()
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(response.Body)
	if err != nil {
		return 0, errors.Wrapf(err, "metrics of %s are not in the Prometheus text format", address)
	}
	total := 0
	for _, metric := range families[requestMetric].GetMetric() {
		if hasLabel(metric, classLabel, replicaClass) && hasLabel(metric, customerLabel, string(customer)) {
			total += int(metric.GetHistogram().GetSampleCount())
		}
	}
	return total, nil
}

// hasLabel reports whether the metric has the label with this value.
func hasLabel(metric *dto.Metric, name, value string) bool {
	for _, label := range metric.GetLabel() {
		if label.GetName() == name {
			return label.GetValue() == value
		}
	}
	return false
}
