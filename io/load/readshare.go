package load

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
)

const (
	requestMetric   = "turmericpulley_request_seconds"
	replicaClass    = "replicaRead"
	scrapeTimeout   = 3 * time.Second
	unknownShare    = -1
	classMetricName = "class"
)

// replicaReads returns how many reads replicas have served; negative when that cannot be learned.
func replicaReads(ctx context.Context, counter ReadCounter) int {
	switch c := counter.(type) {
	case MetricsCounter:
		total := 0
		for _, address := range c.Addresses {
			reads, err := scrapeReplicaReads(ctx, address)
			if err != nil {
				continue
			}
			total += reads
		}
		return total
	default:
		return unknownShare
	}
}

// readShare returns the share of the reads that replicas served.
func readShare(before, after, reads int) float64 {
	if before < 0 || after < before || reads == 0 {
		return unknownShare
	}
	return min(1, float64(after-before)/float64(reads))
}

// scrapeReplicaReads reads the counter of one instance.
func scrapeReplicaReads(ctx context.Context, address string) (int, error) {
	limited, cancel := context.WithTimeout(ctx, scrapeTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(limited, http.MethodGet, "http://"+address+"/metrics", http.NoBody)
	if err != nil {
		return 0, errors.Wrapf(err, "address %q is not usable for metrics", address)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, errors.Wrapf(err, "reading the metrics of %s", address)
	}
	defer func() { _ = response.Body.Close() }()
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(response.Body)
	if err != nil {
		return 0, errors.Wrapf(err, "metrics of %s are not in the Prometheus text form", address)
	}
	total := 0
	for _, metric := range families[requestMetric].GetMetric() {
		for _, label := range metric.GetLabel() {
			if label.GetName() == classMetricName && label.GetValue() == replicaClass {
				total += int(metric.GetHistogram().GetSampleCount())
			}
		}
	}
	return total, nil
}
