package logs_test

import (
	"bytes"
	"testing"

	"github.com/hashicorp/go-hclog"

	"turmericpulley/io/logs"
)

// countingWriter counts the bytes and lines that are written to it.
type countingWriter struct {
	bytes, lines int
}

func (c *countingWriter) Write(data []byte) (int, error) {
	c.bytes += len(data)
	c.lines += bytes.Count(data, []byte("\n"))
	return len(data), nil
}

// BenchmarkLine measures the time to log a refused request and the size of the line. Lines that arrive while the queue is full
// are dropped; their time is measured too.
func BenchmarkLine(b *testing.B) {
	out := &countingWriter{}
	lines := logs.New(out)
	logger := hclog.New(&hclog.LoggerOptions{Output: lines, JSONFormat: true}).With("instance", "frontend-17")
	for b.Loop() {
		logger.Info("request answered with an error", "request", "0000000000008ca7", "route", "r-primary", "code", "overloaded",
			"reason", "not run: the expected wait in the queue exceeds the time that the request has left; come back in 200 ms", "elapsed", "3.091938ms")
	}
	lines.Close()
	b.ReportMetric(float64(out.bytes)/float64(max(out.lines, 1)), "bytes/line")
}
