package load

import (
	"math"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
	// plotNines is the highest quantile shown: 1 - 10^-3.
	plotNines = 3.0
	plotStep  = 0.05
)

// WritePlot draws the latency quantiles of the urgent calls by policy. The
// format follows from the file's extension, for example .png or .svg. The
// horizontal axis is logarithmic in the share of calls beyond the quantile, so
// that the tail is as wide as the bulk.
func (r *Report) WritePlot(file string) error {
	p := plot.New()
	p.Title.Text = r.Scenario + " on " + r.Deployment + ", urgent calls"
	p.X.Label.Text = "quantile"
	p.Y.Label.Text = "latency (ms)"
	p.X.Tick.Marker = plot.ConstantTicks{
		{Value: math.Log10(2), Label: "50 %"}, {Value: 1, Label: "90 %"},
		{Value: 2, Label: "99 %"}, {Value: 3, Label: "99.9 %"},
	}
	p.X.Max = plotNines + 0.2 // room for the label of the last tick
	p.Legend.Top, p.Legend.Left = true, true
	p.Add(plotter.NewGrid())
	for i, o := range r.Policies {
		var points plotter.XYs
		for x := 0.0; x <= plotNines; x += plotStep {
			q := 100 * (1 - math.Pow(10, -x))
			points = append(points, plotter.XY{X: x, Y: float64(o.urgent.ValueAtQuantile(q)) / 1000})
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return errors.Wrap(err, "plot")
		}
		line.Color, line.Dashes = plotutil.Color(i), plotutil.Dashes(i)
		p.Add(line)
		p.Legend.Add(o.Policy, line)
	}
	return errors.Wrap(p.Save(plotWidth, plotHeight, file), "plot")
}
