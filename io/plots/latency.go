package plots

import (
	"math"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"

	"turmericpulley/io/load"
)

const (
	// minLatencyMs replaces lower latencies, because a logarithmic axis cannot show zero.
	minLatencyMs = 0.001
	// maxQuantile replaces higher quantiles, because 100 % would be at infinity on the percentile axis.
	maxQuantile = 0.99999
)

// saveLatency plots the latency curve of each class.
func saveLatency(path string, run Run) error {
	p := plot.New()
	p.Title.Text = "Latency by class, " + run.Name
	p.X.Label.Text = "percentile"
	p.X.Tick.Marker = plot.ConstantTicks(percentileTicks())
	p.Y.Label.Text = "milliseconds"
	p.Y.Scale = plot.LogScale{}
	p.Y.Tick.Marker = plot.LogTicks{Prec: -1}
	p.Legend.Top = true
	p.Legend.Left = true
	var lines []any
	for _, c := range run.Result.Classes {
		if c.Acknowledged > 0 {
			lines = append(lines, string(c.Class), latencyPoints(c.Percentiles))
		}
	}
	if len(lines) == 0 {
		p.Y.Scale = plot.LinearScale{}
		p.Y.Tick.Marker = plot.DefaultTicks{}
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return errors.Wrap(err, "plotting latencies")
	}
	return savePNG(p, path)
}

func latencyPoints(percentiles []load.Percentile) plotter.XYs {
	points := make(plotter.XYs, 0, len(percentiles))
	for _, percentile := range percentiles {
		y := math.Max(float64(percentile.Latency), minLatencyMs)
		points = append(points, plotter.XY{X: percentilePosition(percentile.Percent), Y: y})
	}
	return points
}

// percentilePosition returns the position of a percentile on a logarithmic axis, on which 90, 99 and 99.9 are one unit apart.
func percentilePosition(percent float64) float64 {
	return -math.Log10(1 - math.Min(percent/100, maxQuantile))
}

func percentileTicks() []plot.Tick {
	return []plot.Tick{
		{Value: percentilePosition(0), Label: "0"},
		{Value: percentilePosition(50), Label: "50"},
		{Value: percentilePosition(90), Label: "90"},
		{Value: percentilePosition(99), Label: "99"},
		{Value: percentilePosition(99.9), Label: "99.9"},
		{Value: percentilePosition(99.99), Label: "99.99"},
		{Value: percentilePosition(100), Label: "max"},
	}
}
