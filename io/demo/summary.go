package demo

import "turmericpulley/io/load"

// Summary adds up the results of all customers.
type Summary struct {
	Requests           int               `json:"requests"`
	AcknowledgedWrites int               `json:"acknowledgedWrites"`
	LostWrites         int               `json:"lostWrites"`
	DoubledWrites      int               `json:"doubledWrites"`
	FalseRefusals      int               `json:"falseRefusals"`
	StaleReads         int               `json:"staleReads"`
	ReplicaReadShare   float64           `json:"replicaReadShare"`
	FailoverGap        load.Milliseconds `json:"failoverGapMs"`
	Seed               uint64            `json:"seed"`
}

// Clean reports whether no write was lost or doubled, no refusal was false and no read was stale.
func (s Summary) Clean() bool {
	return s.LostWrites == 0 && s.DoubledWrites == 0 && s.FalseRefusals == 0 && s.StaleReads == 0
}

// newSummary adds up the results. The share of replica reads is weighted by the number of reads; it leaves out results whose
// share is unknown.
func newSummary(results []load.Result, seed uint64) Summary {
	s := Summary{Seed: seed}
	reads := 0
	replicaReads := 0.0
	for _, r := range results {
		s.Requests += r.Requests
		s.AcknowledgedWrites += r.AcknowledgedWrites
		s.LostWrites += r.LostWrites
		s.DoubledWrites += r.DoubledWrites
		s.FalseRefusals += r.FalseRefusals
		s.StaleReads += r.StaleReads
		if r.ReplicaReadShare >= 0 {
			reads += r.AcknowledgedReads
			replicaReads += r.ReplicaReadShare * float64(r.AcknowledgedReads)
		}
	}
	if reads > 0 {
		s.ReplicaReadShare = replicaReads / float64(reads)
	}
	return s
}
