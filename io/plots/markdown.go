package plots

import (
	"fmt"
	"strings"
)

// markdown returns the Markdown text of the page.
func markdown(runs []Run) string {
	var b strings.Builder
	b.WriteString("# Load report\n\n")
	b.WriteString("| run | workload | seed | requests | acknowledged writes | lost | doubled | stale | replica share | gap ms |\n")
	b.WriteString("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n")
	for _, run := range runs {
		r := run.Result
		fmt.Fprintf(&b, "| %s | %s | %d | %d | %d | %d | %d | %d | %s | %.0f |\n",
			run.Name, r.Workload, r.Seed, r.Requests, r.AcknowledgedWrites,
			r.LostWrites, r.DoubledWrites, r.StaleReads, shareText(r.ReplicaReadShare), float64(r.FailoverGap))
	}
	fmt.Fprintf(&b, "\n![Share of reads served by replicas](%s)\n", sharesFile)
	for _, run := range runs {
		b.WriteString(runSection(run))
	}
	return b.String()
}

// runSection returns the section of the page about one run.
func runSection(run Run) string {
	var b strings.Builder
	fmt.Fprintf(&b, "\n## %s\n\n", run.Name)
	b.WriteString("| class | acknowledged | not run | unknown | failed | p50 ms | p99 ms | max ms |\n")
	b.WriteString("| --- | --- | --- | --- | --- | --- | --- | --- |\n")
	for _, c := range run.Result.Classes {
		fmt.Fprintf(&b, "| %s | %d | %d | %d | %d | %.2f | %.2f | %.2f |\n",
			c.Class, c.Acknowledged, c.NotRun, c.Unknown, c.Failed, float64(c.P50), float64(c.P99), float64(c.Max))
	}
	fmt.Fprintf(&b, "\n![Latency by class](%s)\n\n![Failover timeline](%s)\n", latencyFile(run), timelineFile(run))
	return b.String()
}

func shareText(share float64) string {
	if share < 0 {
		return "unknown"
	}
	return fmt.Sprintf("%.1f %%", 100*share)
}
