package load

import (
	"slices"
	"time"

	"turmericpulley/core/audit"
	"turmericpulley/core/types"
)

// newWriteGaps returns, for each database, the longest time between two successive acknowledged writes.
func newWriteGaps(samples []sample, databases []types.DatabaseID, start time.Time) []WriteGap {
	gaps := make([]WriteGap, 0, len(databases))
	for _, database := range databases {
		gaps = append(gaps, longestWriteGap(samples, database, start))
	}
	return gaps
}

func longestWriteGap(samples []sample, database types.DatabaseID, start time.Time) WriteGap {
	var moments []time.Duration
	for _, s := range samples {
		if s.database == database && s.isWrite && s.outcome == audit.Acknowledged {
			moments = append(moments, s.returned.Sub(start))
		}
	}
	slices.Sort(moments)
	gap := WriteGap{Database: database}
	for i := 1; i < len(moments); i++ {
		if length := toMilliseconds(moments[i] - moments[i-1]); length > gap.Length {
			gap.Start = toMilliseconds(moments[i-1])
			gap.Length = length
		}
	}
	return gap
}

// maxGapLength returns the length of the longest gap of all databases.
func maxGapLength(gaps []WriteGap) Milliseconds {
	var length Milliseconds
	for _, gap := range gaps {
		length = max(length, gap.Length)
	}
	return length
}
