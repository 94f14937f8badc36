package route

import (
	"time"

	"trefoilthread/core/types"
)

// Result describes how one call to a target ended.
type Result struct {
	Latency   time.Duration // from the start to the end of the response
	Outcome   types.Outcome
	Failed    bool // the target failed: status 5xx, or the connection was reset
	Unreached bool // no connection could be made to the daemon beside the target
	Report    types.Report
	HasReport bool
}

// resultKind says how a result counts in the statistics of its target.
type resultKind uint8

const (
	succeeded resultKind = iota
	failed
	refused       // by admission control: the target is full, not broken
	censored      // ended early: the latency is only a lower bound
	uninformative // says nothing about the target
)

// refusalWeight is the part of a failure that a refusal counts as. Refusals alone then
// never exceed the share at which a target is suspended.
const refusalWeight = 0.5

func (r Result) kind() resultKind {
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
		return uninformative
	}
	return failed
}
