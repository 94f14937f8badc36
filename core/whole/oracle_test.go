package whole_test

import (
	"fmt"
	"time"

	"trefoilthread/core/types"
)

// resultBound is how long after its deadline a call may get its result.
const resultBound = 50 * time.Millisecond

// oracle knows callers, runs and answers only, and keeps the first violation.
type oracle struct {
	err       error
	calls     []*call
	runs      map[string]int // by call id
	keyRuns   map[string]int // by idempotency key
	busy      map[*instance]int
	outcomes  map[types.Outcome]int
	total     int
	lastCheck int
}

// call is one request of a caller.
type call struct {
	id, key  string
	class    types.Class
	entry    *proc
	sent     time.Time
	deadline time.Time
	paused   time.Duration // of the entry daemon, before the call
	results  int
	outcome  types.Outcome
}

// response is what a target answers: the call and key that it ran for.
type response struct{ id, key string }

func newOracle() *oracle {
	return &oracle{
		runs: map[string]int{}, keyRuns: map[string]int{}, busy: map[*instance]int{}, outcomes: map[types.Outcome]int{},
	}
}

func (o *oracle) fail(format string, args ...any) {
	if o.err == nil {
		o.err = fmt.Errorf(format, args...)
	}
}

// started takes the start of a run at a target.
func (o *oracle) started(c *call, in *instance, drained bool) {
	o.total++
	o.runs[c.id]++
	if c.class.Runs() == types.AtMostOnce {
		if o.runs[c.id] > 1 {
			o.fail("at-most-once call %s ran %d times", c.id, o.runs[c.id])
		}
		if c.key != "" {
			o.keyRuns[c.key]++
			if o.keyRuns[c.key] > 1 {
				o.fail("key %s ran %d times, now for call %s", c.key, o.keyRuns[c.key], c.id)
			}
		}
	}
	if c.results > 0 && c.outcome.ProvesNotRun() {
		o.fail("call %s runs after it was refused as %s", c.id, c.outcome)
	}
	if o.busy[in]++; o.busy[in] > in.slots {
		o.fail("target %s runs %d calls in %d slots", in.name, o.busy[in], in.slots)
	}
	if drained {
		o.fail("call %s starts at %s after its drain was acknowledged", c.id, in.name)
	}
}

func (o *oracle) ended(in *instance) { o.busy[in]-- }

// answered takes the result that a caller gets.
func (o *oracle) answered(now time.Time, c *call, out types.Outcome, r response) {
	c.results++
	c.outcome = out
	o.outcomes[out]++
	switch {
	case c.results > 1:
		o.fail("call %s got %d results", c.id, c.results)
	case out == types.Done && c.key == "" && r.id != c.id:
		o.fail("call %s got the answer of call %s", c.id, r.id)
	case out == types.Done && r.key != c.key:
		o.fail("call %s with key %q got the answer of key %q", c.id, c.key, r.key)
	case out == types.Done && o.runs[r.id] == 0:
		o.fail("call %s got an answer of call %s, which never ran", c.id, r.id)
	case out.ProvesNotRun() && o.runs[c.id] > 0:
		o.fail("call %s was refused as %s after it ran", c.id, out)
	}
	if limit := c.deadline.Add(resultBound + c.entry.pausedTotal - c.paused); now.After(limit) {
		o.fail("call %s got its result %v after the deadline", c.id, now.Sub(c.deadline))
	}
}

// overdue reports calls that should have had a result by now.
func (o *oracle) overdue(now time.Time) {
	for o.lastCheck < len(o.calls) && o.calls[o.lastCheck].results > 0 {
		o.lastCheck++
	}
	for _, c := range o.calls[o.lastCheck:] {
		wait := resultBound + c.entry.pausedTotal - c.paused
		if c.results == 0 && !c.entry.paused && now.After(c.deadline.Add(wait)) {
			o.fail("call %s has no result %v after its deadline", c.id, now.Sub(c.deadline))
		}
	}
}

// inForce takes the configuration versions of one process.
func (o *oracle) inForce(p *proc, version int64) {
	if version < p.version {
		o.fail("configuration at %s went back from %d to %d", p.n.id, p.version, version)
	}
	p.version = version
}
