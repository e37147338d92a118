package load

import (
	"time"

	"turmericpulley/core/audit"
	"turmericpulley/core/types"
)

// Result holds the measurements of one run and the findings of the history check.
type Result struct {
	Workload           Workload        `json:"workload"`
	Customer           types.AccountID `json:"customer"`
	Seed               uint64          `json:"seed"`
	Started            time.Time       `json:"started"`
	Duration           Milliseconds    `json:"durationMs"`
	Requests           int             `json:"requests"`
	AcknowledgedWrites int             `json:"acknowledgedWrites"`
	AcknowledgedReads  int             `json:"acknowledgedReads"`
	LostWrites         int             `json:"lostWrites"`
	DoubledWrites      int             `json:"doubledWrites"`
	FalseRefusals      int             `json:"falseRefusals"`
	StaleReads         int             `json:"staleReads"`
	// Linearizable says whether every row with one writer behaved like a register as seen by that writer.
	Linearizable bool `json:"linearizable"`
	// ReplicaReadShare is the share of acknowledged reads that replicas served; it is negative if it is not known.
	ReplicaReadShare float64 `json:"replicaReadShare"`
	// FailoverGap is the length of the longest gap in Gaps.
	FailoverGap Milliseconds    `json:"failoverGapMs"`
	Classes     []ClassResult   `json:"classes"`
	Gaps        []WriteGap      `json:"gaps"`
	Timeline    []TimelinePoint `json:"timeline"`
	Findings    []audit.Finding `json:"findings,omitempty"`
	// Operations is the recorded history.
	Operations []audit.Operation `json:"-"`
}

// Clean reports whether the history check found no violation.
func (r Result) Clean() bool { return len(r.Findings) == 0 && r.Linearizable }

// ClassResult holds the measurements of one class of requests.
type ClassResult struct {
	Class        Class `json:"class"`
	Acknowledged int   `json:"acknowledged"`
	NotRun       int   `json:"notRun"`
	Unknown      int   `json:"unknown"`
	Failed       int   `json:"failed"`
	// Missed counts requests that were not sent because the queue of their session was full.
	Missed int          `json:"missed"`
	P50    Milliseconds `json:"p50Ms"`
	P99    Milliseconds `json:"p99Ms"`
	Max    Milliseconds `json:"maxMs"`
	// UnacknowledgedAttempts counts attempts that were not acknowledged, by SQLSTATE; it includes attempts whose retry succeeded.
	UnacknowledgedAttempts map[audit.SQLState]int `json:"refusals,omitempty"`
	Percentiles            []Percentile           `json:"percentiles"`
}

// Percentile is one point of a latency curve.
type Percentile struct {
	Percent float64      `json:"percent"`
	Latency Milliseconds `json:"latencyMs"`
}

// WriteGap is the longest time between two successive acknowledged writes in one database.
type WriteGap struct {
	Database types.DatabaseID `json:"database"`
	Start    Milliseconds     `json:"startMs"`
	Length   Milliseconds     `json:"lengthMs"`
}

// TimelinePoint counts the requests that ended in one interval in one database, by outcome. Writes and Reads count acknowledged
// requests; SlowestWrite is the highest latency of the acknowledged writes.
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
