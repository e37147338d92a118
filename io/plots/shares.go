package plots

import (
	"math"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const barWidth = vg.Inch / 3

// saveShares plots the share of replica reads of each run as a bar chart. An unknown share has a bar of height zero.
func saveShares(path string, runs []Run) error {
	p := plot.New()
	p.Title.Text = "Reads served by replicas"
	p.Y.Label.Text = "percent"
	p.Y.Min = 0
	p.Y.Max = 100
	shares := make(plotter.Values, 0, len(runs))
	names := make([]string, 0, len(runs))
	for _, run := range runs {
		shares = append(shares, 100*math.Max(run.Result.ReplicaReadShare, 0))
		names = append(names, run.Name)
	}
	bars, err := plotter.NewBarChart(shares, barWidth)
	if err != nil {
		return errors.Wrap(err, "plotting shares")
	}
	bars.Color = plotutil.Color(0) //nolint:misspell // the name is the library's
	p.Add(bars)
	p.NominalX(names...)
	return savePNG(p, path)
}
