package node

import (
	"net/http"
	"time"

	"turmericpulley/core/budget"
	"turmericpulley/io/meter"
)

const (
	// readHeaderTimeout bounds the time to read the header of an HTTP request for readiness or metrics, and exchangeTimeout that of a whole
	// exchange. A connection at rest is closed after restTimeout; readiness checks come every second.
	readHeaderTimeout = 2 * time.Second
	exchangeTimeout   = 5 * time.Second
	restTimeout       = 30 * time.Second
	// maxHeaderBytes bounds the header of such a request, which has a few hundred bytes; the library adds 4 KiB.
	maxHeaderBytes = 4 << 10
	// maxReadyConnections and maxMetricsConnections are open at once; the balancer and an operator need one or two each.
	maxReadyConnections   = 32
	maxMetricsConnections = 16
)

// newHTTPServer returns a server for readiness checks or metrics, which outsiders may reach.
func newHTTPServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: readHeaderTimeout, ReadTimeout: exchangeTimeout, WriteTimeout: exchangeTimeout,
		IdleTimeout: restTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
}

// budgetCounters returns the counters of callers that were turned away or refused, one for each reason.
func (n *Node) budgetCounters() []meter.CounterFunc {
	counters := make([]meter.CounterFunc, 0, len(budget.Reasons()))
	for _, r := range budget.Reasons() {
		counters = append(counters, meter.CounterFunc{
			Name: "callers_turned_away_" + r.String(), Description: "Callers that were turned away or refused for the reason " + r.String() + ".",
			Read: func() int64 { return n.budget.Usage().Turned[r] },
		})
	}
	return counters
}
