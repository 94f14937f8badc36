package load

import (
	"time"

	"trefoilthread/core/types"
)

// Call is what a test lets one call of a series come to.
type Call struct {
	Kind         int
	Outcome      types.Outcome
	Status       int
	Latency      time.Duration
	Key, Request string
	Crossed, Cut bool
}

// ReportOf returns the report of a fake series of calls.
func ReportOf(mix []Kind, calls []Call, runs func(string) int, measured []Measuring) *Report {
	res := newResult(mix)
	for _, c := range calls {
		res.series[c.Kind].add(result{
			outcome: c.Outcome, status: c.Status, latency: c.Latency, key: c.Key, request: c.Request,
			crossed: c.Crossed, cut: c.Cut,
		})
	}
	return &Report{Policies: []PolicyReport{newPolicyReport("weighted", res, runs, measured)}}
}

// BestWorth and MostWithin export the functions of those names.
var (
	BestWorth  = bestWorth
	MostWithin = mostWithin
)
