package route

import (
	"time"

	"trefoilthread/core/types"
)

// Result is what a daemon learned from one call to a target.
type Result struct {
	Latency   time.Duration // from the start to the end of the response
	Outcome   types.Outcome
	Failed    bool // the target failed: status 5xx, or the connection was reset
	Report    types.Report
	HasReport bool
}

// verdict is how a result counts for its target.
type verdict uint8

const (
	succeeded verdict = iota
	failed
	refused  // by admission control: full, but not broken
	censored // ended early: the latency is only a lower bound
	silent   // tells nothing about the target
)

// refusedShare is how much a refusal counts as a failure. Refusals alone then
// never exceed the share at which a target is suspended.
const refusedShare = 0.5

func (r Result) verdict() verdict {
	if r.Failed {
		return failed
	}
	switch r.Outcome {
	case types.Done:
		return succeeded
	case types.NotRun:
		return refused
	case types.DeadlineExceeded, types.Canceled:
		return censored
	case types.NoSuchService, types.Quarantined, types.BadRequest:
		return silent
	}
	return failed
}
