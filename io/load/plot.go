package load

import "trefoilthread/io/curve"

// WritePlot draws the latency quantiles of the urgent calls by policy. The
// format follows from the file's extension, for example .png or .svg.
func (r *Report) WritePlot(file string) error {
	p := curve.Panel{Title: r.Scenario + " on " + r.Deployment + ", urgent calls"}
	for _, o := range r.Policies {
		p.Curves = append(p.Curves, curve.Curve{Name: o.Policy, Quantile: o.urgentQuantile})
	}
	return curve.Save(file, p)
}

// urgentQuantile returns the latency in milliseconds that a percentage of the
// urgent calls stayed within.
func (r *PolicyReport) urgentQuantile(percent float64) float64 {
	return float64(r.urgent.ValueAtQuantile(percent)) / 1000
}
