package server

import (
	"time"

	"turmericpulley/core/fault"
	"turmericpulley/io/meter"
	"turmericpulley/io/pgsrv"
)

const (
	unitCount       = "1"
	unitConnections = "{connection}"
)

// measure fills the histograms and counters from a finished transaction.
func (v *Server) measure(t pgsrv.Transaction) {
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

// promoted counts a promotion and the time without a primary before it.
func (v *Server) promoted(gap time.Duration) {
	v.meter.CountPromotion()
	v.meter.CountFailover(gap)
}

// registerCounters publishes what the owners of this instance count.
func (v *Server) registerCounters() error {
	counts := []struct {
		name        string
		description string
		read        func() int64
	}{
		{"owner_replica_reads", "Transactions answered by replicas.", v.counters.ReplicaReads.Load},
		{"owner_primary_transactions", "Transactions answered by primaries.", v.counters.PrimaryTransactions.Load},
		{"owner_refusals", "Transactions refused before they ran.", v.counters.Refusals.Load},
		{"owner_unknown_outcomes", "Transactions whose outcome is unknown.", v.counters.Unknown.Load},
		{"owner_retries", "Attempts after the first.", v.counters.Retries.Load},
		{"owner_promotions", "Primaries promoted.", v.counters.Promotions.Load},
		{"owner_claims", "Databases taken over.", v.counters.Claims.Load},
		{"owner_losses", "Databases lost to another owner.", v.counters.Losses.Load},
		{"owner_dials", "Connections opened to targets.", v.counters.Dials.Load},
		{"owner_condemned", "Connections thrown away because their state was in doubt.", v.counters.Condemned.Load},
		{"owner_silent", "Connections replaced because they had gone silent.", v.counters.Silent.Load},
		{"owner_confirmed_late", "Writes confirmed after a promotion that kept them.", v.counters.ConfirmedLate.Load},
		{"owner_discarded", "Unacknowledged log entries that returning primaries gave up.", v.counters.Discarded.Load},
		{"owner_repeats", "Requests answered from the record of their key.", v.counters.Repeats.Load},
		{"owner_monitor_calls", "Calls made to watch members.", v.counters.MonitorCalls.Load},
	}
	for _, c := range counts {
		if err := v.meter.Counter(c.name, unitCount, c.description, c.read); err != nil {
			return err
		}
	}
	return v.meter.Gauge("caller_connections", unitConnections, "Open connections of callers.", func() int64 {
		if v.callers == nil {
			return 0
		}
		return v.callers.Counters().Connections.Load()
	})
}
