package load

import (
	"time"

	"turmericpulley/core/audit"
	"turmericpulley/core/types"
)

// Result is what one run measured.
type Result struct {
	Workload           Workload         `json:"workload"`
	Customer           types.CustomerID `json:"customer"`
	Seed               uint64           `json:"seed"`
	Started            time.Time        `json:"started"`
	Duration           Milliseconds     `json:"durationMs"`
	Requests           int              `json:"requests"`
	AcknowledgedWrites int              `json:"acknowledgedWrites"`
	AcknowledgedReads  int              `json:"acknowledgedReads"`
	LostWrites         int              `json:"lostWrites"`
	DoubledWrites      int              `json:"doubledWrites"`
	FalseRefusals      int              `json:"falseRefusals"`
	StaleReads         int              `json:"staleReads"`
	// Linearizable says whether every row with one writer behaved as a register towards that writer.
	Linearizable bool `json:"linearizable"`
	// ReplicaReadShare is the share of acknowledged reads that replicas served; negative when it was not learned.
	ReplicaReadShare float64         `json:"replicaReadShare"`
	FailoverGap      Milliseconds    `json:"failoverGapMs"`
	Classes          []ClassResult   `json:"classes"`
	Gaps             []WriteGap      `json:"gaps"`
	Timeline         []TimelinePoint `json:"timeline"`
	Findings         []audit.Finding `json:"findings,omitempty"`
	// Operations is the recorded history.
	Operations []audit.Operation `json:"-"`
}

// Clean reports whether the history broke no promise.
func (r Result) Clean() bool { return len(r.Findings) == 0 && r.Linearizable }

// ClassResult is what one class of requests measured.
type ClassResult struct {
	Class        Class        `json:"class"`
	Acknowledged int          `json:"acknowledged"`
	NotRun       int          `json:"notRun"`
	Unknown      int          `json:"unknown"`
	Failed       int          `json:"failed"`
	Missed       int          `json:"missed"`
	P50          Milliseconds `json:"p50Ms"`
	P99          Milliseconds `json:"p99Ms"`
	Max          Milliseconds `json:"maxMs"`
	// Refusals counts attempts without an acknowledgement, those that a retry made good included, by SQLSTATE.
	Refusals    map[audit.SQLState]int `json:"refusals,omitempty"`
	Percentiles []Percentile           `json:"percentiles"`
}

// Percentile is one point of a latency curve.
type Percentile struct {
	Percent float64      `json:"percent"`
	Latency Milliseconds `json:"latencyMs"`
}

// WriteGap is the longest time without an acknowledged write in one database.
type WriteGap struct {
	Database types.DatabaseID `json:"database"`
	Start    Milliseconds     `json:"startMs"`
	Length   Milliseconds     `json:"lengthMs"`
}

// TimelinePoint counts what happened in one interval in one database.
type TimelinePoint struct {
	Start        Milliseconds     `json:"startMs"`
	Database     types.DatabaseID `json:"database"`
	Writes       int              `json:"writes"`
	Reads        int              `json:"reads"`
	NotRun       int              `json:"notRun"`
	Unknown      int              `json:"unknown"`
	Failed       int              `json:"failed"`
	SlowestWrite Milliseconds     `json:"slowestWriteMs"`
}
