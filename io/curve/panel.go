package curve

import (
	"math"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
)

const (
	// maxNines is the highest quantile shown: 1 - 10^-3.
	maxNines = 3.0
	step     = 0.05 // between two points, in nines
)

// Curve is the latency quantiles of one set of requests.
type Curve struct {
	Name string
	// Quantile returns the latency in milliseconds that a percentage of the
	// requests stayed within. Without it nothing is drawn, and the line style
	// stays unused, so that the n-th curves of all panels look alike.
	Quantile func(percent float64) float64
}

// Panel is one coordinate system.
type Panel struct {
	Title  string
	Curves []Curve
}

// plot returns the panel as a plot.
func (p Panel) plot() (*plot.Plot, error) {
	out := plot.New()
	out.Title.Text = p.Title
	out.X.Label.Text = "quantile"
	out.Y.Label.Text = "latency (ms)"
	out.X.Tick.Marker = plot.ConstantTicks{
		{Value: math.Log10(2), Label: "50 %"}, {Value: 1, Label: "90 %"},
		{Value: 2, Label: "99 %"}, {Value: 3, Label: "99.9 %"},
	}
	out.X.Max = maxNines + 0.2 // room for the label of the last tick
	out.Legend.Top, out.Legend.Left = true, true
	out.Add(plotter.NewGrid())
	for i, c := range p.Curves {
		if c.Quantile == nil {
			continue
		}
		line, err := plotter.NewLine(c.points())
		if err != nil {
			return nil, errors.Wrapf(err, "%s: %s", p.Title, c.Name)
		}
		line.Color, line.Dashes = plotutil.Color(i), plotutil.Dashes(i)
		out.Add(line)
		out.Legend.Add(c.Name, line)
	}
	return out, nil
}

// points returns the curve over the number of nines of the quantile.
func (c Curve) points() plotter.XYs {
	var out plotter.XYs
	for x := 0.0; x <= maxNines; x += step {
		percent := 100 * (1 - math.Pow(10, -x))
		out = append(out, plotter.XY{X: x, Y: c.Quantile(percent)})
	}
	return out
}
