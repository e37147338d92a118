package server

import (
	"time"

	"turmericpulley/core/budget"
	"turmericpulley/core/fault"
	"turmericpulley/io/meter"
	"turmericpulley/io/pgsrv"
)

const unitConnections = "{connection}"

// recordMetrics adds a finished transaction to the histograms and counters.
func (v *Server) recordMetrics(t pgsrv.TransactionReport) {
	class := meter.Primary
	switch {
	case t.Fault != nil && t.Fault.Outcome == fault.NotRun:
		class = meter.Refused
		v.meter.CountRefusal(t.Customer, t.Fault.Kind)
	case t.Fault != nil || t.Abandoned:
		class = meter.Unknown
	case t.Replica:
		class = meter.ReplicaRead
	}
	v.meter.RecordRequest(meter.Request{Customer: t.Customer, Class: class, Elapsed: t.Latency})
}

// recordPromotion counts a promotion and the time without a primary before it.
func (v *Server) recordPromotion(gap time.Duration) {
	v.meter.CountPromotion()
	v.meter.CountFailover(gap)
}

// registerCounters publishes the counters of this instance's owners and the gauge of callers' connections.
func (v *Server) registerCounters() error {
	err := v.meter.PublishCounters(
		meter.CounterFunc{Name: "owner_replica_reads", Description: "Transactions answered by replicas.", Read: v.counters.ReplicaReads.Load},
		meter.CounterFunc{Name: "owner_primary_transactions", Description: "Transactions answered by primaries.", Read: v.counters.PrimaryTransactions.Load},
		meter.CounterFunc{Name: "owner_refusals", Description: "Transactions refused before they ran.", Read: v.counters.Refusals.Load},
		meter.CounterFunc{Name: "owner_unknown_outcomes", Description: "Transactions whose outcome is unknown.", Read: v.counters.UnknownOutcomes.Load},
		meter.CounterFunc{Name: "owner_retries", Description: "Attempts after the first.", Read: v.counters.Retries.Load},
		meter.CounterFunc{Name: "owner_promotions", Description: "Primaries promoted.", Read: v.counters.Promotions.Load},
		meter.CounterFunc{Name: "owner_claims", Description: "Databases taken over.", Read: v.counters.Claims.Load},
		meter.CounterFunc{Name: "owner_losses", Description: "Databases lost to another owner.", Read: v.counters.Losses.Load},
		meter.CounterFunc{Name: "owner_dials", Description: "Connections opened to targets.", Read: v.counters.Dials.Load},
		meter.CounterFunc{Name: "owner_condemned", Description: "Connections thrown away because their state was in doubt.", Read: v.counters.BrokenConns.Load},
		meter.CounterFunc{Name: "owner_silent", Description: "Connections replaced because they had gone silent.", Read: v.counters.UnresponsiveConns.Load},
		meter.CounterFunc{Name: "owner_misplaced_answers", Description: "Connections closed because an answer on them did not belong to the request.", Read: v.counters.MisplacedAnswers.Load},
		meter.CounterFunc{Name: "owner_confirmed_late", Description: "Writes confirmed after a promotion that kept them.", Read: v.counters.ConfirmedAfterPromotion.Load},
		meter.CounterFunc{Name: "owner_discarded", Description: "Unacknowledged log entries that returning primaries gave up.", Read: v.counters.DiscardedEntries.Load},
		meter.CounterFunc{Name: "owner_repeats", Description: "Requests answered from the record of their key.", Read: v.counters.RepeatedRequests.Load},
		meter.CounterFunc{Name: "owner_monitor_calls", Description: "Calls made to watch members.", Read: v.counters.MonitorCalls.Load},
	)
	if err != nil {
		return err
	}
	if err := v.meter.PublishCounters(v.turnedAwayCounters()...); err != nil {
		return err
	}
	return v.meter.Gauge("caller_connections", unitConnections, "Open connections of callers.", func() int64 {
		if v.callers == nil {
			return 0
		}
		return v.callers.Counters().Connections.Load()
	})
}

// turnedAwayCounters returns the counters of callers that were turned away or refused, one for each reason, and of operators' connections
// that were closed.
func (v *Server) turnedAwayCounters() []meter.CounterFunc {
	counters := make([]meter.CounterFunc, 0, 1+len(budget.Reasons()))
	counters = append(counters, meter.CounterFunc{
		Name: "operators_turned_away", Description: "Connections of operators that were closed to make room for others.",
		Read: func() int64 {
			if h := v.http.Load(); h != nil {
				return h.ConnectionsClosed()
			}
			return 0
		},
	})
	for _, r := range budget.Reasons() {
		counters = append(counters, meter.CounterFunc{
			Name: "callers_turned_away_" + r.String(), Description: "Callers that were turned away or refused for the reason " + r.String() + ".",
			Read: func() int64 { return v.budget.Usage().Turned[r] },
		})
	}
	return counters
}
