package plots

import (
	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"

	"turmericpulley/core/types"
	"turmericpulley/io/load"
)

// saveTimeline plots the acknowledged writes of each database over time.
func saveTimeline(path string, run Run) error {
	p := plot.New()
	p.Title.Text = "Failover timeline, " + run.Name
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "acknowledged writes per interval"
	p.Y.Min = 0
	p.Legend.Top = true
	var lines []any
	for _, gap := range run.Result.Gaps {
		if points := writesPerInterval(run.Result.Timeline, gap.Database); len(points) > 0 {
			lines = append(lines, string(gap.Database), points)
		}
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return errors.Wrap(err, "plotting the timeline")
	}
	return savePNG(p, path)
}

// writesPerInterval returns the number of writes of one database in each interval up to the last point. A timeline has no
// points for intervals without requests; these count as zero, as during a failover.
func writesPerInterval(timeline []load.TimelinePoint, database types.DatabaseID) plotter.XYs {
	if len(timeline) == 0 {
		return nil
	}
	points := make(plotter.XYs, intervalIndex(timeline[len(timeline)-1])+1)
	for i := range points {
		points[i].X = float64(i) * load.TimelineInterval.Seconds()
	}
	for _, point := range timeline {
		if point.Database == database {
			points[intervalIndex(point)].Y = float64(point.Writes)
		}
	}
	return points
}

// intervalIndex returns the index of the interval that the point covers.
func intervalIndex(point load.TimelinePoint) int {
	return int(float64(point.Start) / float64(load.TimelineInterval.Milliseconds()))
}
