package load

import (
	"cmp"
	"slices"
	"time"

	"turmericpulley/core/audit"
	"turmericpulley/core/types"
)

// TimelineInterval is the length of one interval of a timeline.
const TimelineInterval = 250 * time.Millisecond

// timelineKey identifies one interval of one database.
type timelineKey struct {
	interval int
	database types.DatabaseID
}

// newTimeline counts the samples by interval of their end and by database.
func newTimeline(samples []sample, start time.Time) []TimelinePoint {
	points := map[timelineKey]*TimelinePoint{}
	for _, s := range samples {
		key := timelineKey{interval: int(s.returned.Sub(start) / TimelineInterval), database: s.database}
		point := points[key]
		if point == nil {
			offset := time.Duration(key.interval) * TimelineInterval
			point = &TimelinePoint{Start: toMilliseconds(offset), Database: s.database}
			points[key] = point
		}
		point.add(s)
	}
	timeline := make([]TimelinePoint, 0, len(points))
	for _, point := range points {
		timeline = append(timeline, *point)
	}
	slices.SortFunc(timeline, func(a, b TimelinePoint) int {
		return cmp.Or(cmp.Compare(a.Start, b.Start), cmp.Compare(a.Database, b.Database))
	})
	return timeline
}

func (p *TimelinePoint) add(s sample) {
	switch {
	case s.outcome == audit.NotRun:
		p.NotRun++
	case s.outcome == audit.Unknown:
		p.Unknown++
	case s.outcome == audit.Failed:
		p.Failed++
	case s.isWrite:
		p.Writes++
		p.SlowestWrite = max(p.SlowestWrite, toMilliseconds(s.latency()))
	default:
		p.Reads++
	}
}
