package store

import (
	"math/rand/v2"
	"time"
)

// outage decides when calls may be tried while the store does not answer.
type outage struct {
	after    int
	min, max time.Duration
	rng      *rand.Rand

	failures int           // without an answer, one after the other
	backoff  time.Duration // 0: no outage
	retryAt  time.Time
	trying   bool
}

func newOutage(o BudgetOptions) outage {
	return outage{
		after: o.OutageAfter, min: o.MinBackoff, max: max(o.MinBackoff, o.MaxBackoff),
		rng: rand.New(rand.NewPCG(o.Seed, 0)),
	}
}

// allows reports whether a call may be made now.
func (o *outage) allows(now time.Time) bool {
	return o.backoff == 0 || !o.trying && !now.Before(o.retryAt)
}

// begin registers an allowed call and reports whether it is a trial.
func (o *outage) begin() bool {
	o.trying = o.backoff > 0
	return o.trying
}

// answered ends an outage.
func (o *outage) answered() {
	o.failures, o.backoff, o.trying = 0, 0, false
}

// postpone ends a trial that cannot give a result soon: the next trial comes
// after the same back-off.
func (o *outage) postpone(now time.Time) {
	o.trying = false
	o.delay(now)
}

// undecided ends a trial without a result: the next call is a trial.
func (o *outage) undecided(trial bool) {
	if trial {
		o.trying = false
	}
}

// failed registers a call without an answer. Calls that were already sent when
// the outage began do not lengthen it.
func (o *outage) failed(trial bool, now time.Time) {
	o.failures++
	switch {
	case trial:
		o.trying = false
		o.backoff = min(2*o.backoff, o.max)
	case o.backoff == 0 && o.failures >= o.after:
		o.backoff = o.min
	default:
		return
	}
	o.delay(now)
}

// delay sets the time of the next trial.
func (o *outage) delay(now time.Time) {
	// Half of the time is jitter, so that the daemons of a fleet, which all see
	// the outage begin at the same moment, do not return together.
	o.retryAt = now.Add(o.backoff/2 + time.Duration(o.rng.Int64N(int64(o.backoff/2)+1)))
}
