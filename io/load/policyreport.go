package load

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"trefoilthread/core/types"
)

// probeCost is the time of a target that one probe or load query takes.
const probeCost = 6 * time.Millisecond

// PolicyReport is what callers got under one policy.
type PolicyReport struct {
	Policy string `json:"policy"`
	Lines  []Line `json:"calls"`
	// UrgentP50 to UrgentP999 are over all urgent calls but those refused as
	// not run, failed ones included, in milliseconds.
	UrgentP50  float64 `json:"urgentP50Ms"`
	UrgentP99  float64 `json:"urgentP99Ms"`
	UrgentP999 float64 `json:"urgentP999Ms"`
	// Answered is the worth answered in time as a share of the worth offered,
	// OfBest as a share of an upper bound for healthy targets.
	Answered float64 `json:"worthAnsweredShare"`
	OfBest   float64 `json:"worthShareOfBest"`
	// Attempts is the number of requests that reached targets per call.
	Attempts float64     `json:"attemptsPerCall"`
	Crashes  int         `json:"targetCrashes"`
	Missed   int         `json:"notSent"`
	Measured []Measuring `json:"measuring"`
	Broken   []string    `json:"brokenPromises"`

	urgent *hdrhistogram.Histogram
}

// newPolicyReport sums up a result and checks the promises. runs tells how
// often a key or request id ran.
func newPolicyReport(policy string, res *Result, runs func(string) int, measured []Measuring) PolicyReport {
	r := PolicyReport{
		Policy: policy, Missed: res.Missed(), Measured: measured,
		urgent: hdrhistogram.New(1, histogramMax, histogramDigits),
	}
	for _, s := range res.Series() {
		r.add(NewLine(s, runs))
		if s.kind.urgent {
			s.mergeInto(r.urgent)
		}
	}
	r.UrgentP50, r.UrgentP99, r.UrgentP999 = r.urgentQuantile(50), r.urgentQuantile(99), r.urgentQuantile(99.9)
	if a, o := res.Worth(); o > 0 {
		r.Answered = a / o
	}
	for _, m := range measured {
		if m.Worst > m.Budget {
			r.Broken = append(r.Broken, fmt.Sprintf("%s: %s: measuring cost %.1f ms in a window, budget %.1f ms",
				policy, m.Service, m.Worst, m.Budget))
		}
	}
	return r
}

func (r *PolicyReport) add(l Line) {
	r.Lines = append(r.Lines, l)
	for _, b := range []struct {
		n    int
		what string
	}{
		{l.Duplicates, "keys that ran more than once"},
		{l.FalseNot, "calls refused as not run that ran"},
		{l.Crossed, "answers of another call"},
		{l.Cut, "answers cut short"},
	} {
		if b.n > 0 {
			r.Broken = append(r.Broken, fmt.Sprintf("%s: %s: %s: %s: %d", r.Policy, l.Service, l.Call, b.what, b.n))
		}
	}
}

// report sums up a contender at the end of the experiment.
func (c *contender) report() PolicyReport {
	r := newPolicyReport(c.policy, c.res, c.fleet.Runs, measuring(c.fleet))
	requests, crashes := c.requests()
	r.Crashes = crashes - c.crashed
	calls, refusedAtEntry := 0, 0
	for _, s := range c.res.series {
		calls += s.Count()
		refusedAtEntry += s.Outcome(types.BadRequest) + s.Outcome(types.NoSuchService)
	}
	if sent := calls - refusedAtEntry; sent > 0 {
		r.Attempts = float64(requests-c.warmed) / float64(sent)
	}
	if a, _ := c.res.Worth(); c.best > 0 {
		r.OfBest = a / c.best
	}
	return r
}
