package demo

import (
	"slices"
	"time"

	"turmericpulley/core/audit"
	"turmericpulley/core/types"
	"turmericpulley/io/load"
)

// failoverGap returns the longest time between two successive acknowledged writes to the database, of all customers
// together. It leaves out times that ended before the primary was killed.
func failoverGap(results []load.Result, database types.DatabaseID, killed time.Time) time.Duration {
	var moments []time.Time
	for _, r := range results {
		for _, o := range r.Operations {
			if o.Row.Database == database && o.Kind != audit.Read && o.Outcome == audit.Acknowledged {
				moments = append(moments, r.Started.Add(time.Duration(o.Returned)))
			}
		}
	}
	slices.SortFunc(moments, time.Time.Compare)
	var longest time.Duration
	for i := 1; i < len(moments); i++ {
		if moments[i].After(killed) {
			longest = max(longest, moments[i].Sub(moments[i-1]))
		}
	}
	return longest
}
