package load

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"turmericpulley/core/audit"
)

// maxPrintedFindings bounds the number of findings that the text lists.
const maxPrintedFindings = 10

// Text returns the result as human-readable text.
func (r Result) Text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "workload %s, customer %s, seed %d\n", r.Workload, r.Customer, r.Seed)
	fmt.Fprintf(&b, "%d requests in %.1f s, %d writes and %d reads acknowledged\n",
		r.Requests, float64(r.Duration)/1000, r.AcknowledgedWrites, r.AcknowledgedReads)
	fmt.Fprintf(&b, "lost writes %d, doubled writes %d, false refusals %d, stale reads %d, linearizable %t\n",
		r.LostWrites, r.DoubledWrites, r.FalseRefusals, r.StaleReads, r.Linearizable)
	b.WriteString(r.shareText())
	fmt.Fprintf(&b, "longest time without an acknowledged write: %.0f ms\n\n", float64(r.FailoverGap))
	fmt.Fprintf(&b, "%-14s %9s %7s %7s %7s %7s %10s %10s %10s\n",
		"class", "acknowl.", "notRun", "unknown", "failed", "missed", "p50 ms", "p99 ms", "max ms")
	for _, c := range r.Classes {
		fmt.Fprintf(&b, "%-14s %9d %7d %7d %7d %7d %10.2f %10.2f %10.2f\n",
			c.Class, c.Acknowledged, c.NotRun, c.Unknown, c.Failed, c.Missed,
			float64(c.P50), float64(c.P99), float64(c.Max))
	}
	b.WriteString(r.unacknowledgedAttemptsText())
	b.WriteString(findingsText(r.Findings))
	return b.String()
}

func (r Result) shareText() string {
	if r.ReplicaReadShare < 0 {
		return "share of reads served by replicas: unknown\n"
	}
	return fmt.Sprintf("share of reads served by replicas: %.1f %%\n", 100*r.ReplicaReadShare)
}

// unacknowledgedAttemptsText lists the attempts that were not acknowledged, by SQLSTATE. The SQLSTATE is empty if the
// connection broke or the error has no code.
func (r Result) unacknowledgedAttemptsText() string {
	total := map[audit.SQLState]int{}
	for _, c := range r.Classes {
		for state, count := range c.UnacknowledgedAttempts {
			total[state] += count
		}
	}
	var b strings.Builder
	for _, state := range slices.Sorted(maps.Keys(total)) {
		name := string(state)
		if name == "" {
			name = "a broken connection or another error without SQLSTATE"
		}
		fmt.Fprintf(&b, "%d attempts ended with %s\n", total[state], name)
	}
	return b.String()
}

func findingsText(findings []audit.Finding) string {
	var b strings.Builder
	for i, f := range findings {
		if i == maxPrintedFindings {
			fmt.Fprintf(&b, "and %d more findings\n", len(findings)-i)
			break
		}
		fmt.Fprintln(&b, f)
	}
	return b.String()
}
