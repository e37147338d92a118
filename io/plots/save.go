package plots

import (
	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 7 * vg.Inch
	plotHeight = 4 * vg.Inch
)

// savePNG writes the plot to the path as a PNG image.
func savePNG(p *plot.Plot, path string) error {
	return errors.Wrapf(p.Save(plotWidth, plotHeight, path), "writing the plot %s", path)
}
