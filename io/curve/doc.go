// Package curve draws latency quantiles as plots.
//
// The horizontal axis is the quantile, logarithmic in the share of requests
// beyond it, so that the tail is as wide as the bulk.
//
// # Usage
//
//	err := curve.Save("out.svg", curve.Panel{Title: "lookups", Curves: []curve.Curve{
//		{Name: "before", Quantile: before.ValueAtMs},
//		{Name: "after", Quantile: after.ValueAtMs},
//	}})
package curve
