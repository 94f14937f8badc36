package tries

import (
	"math/rand/v2"
	"time"

	"trefoilthread/core/types"
)

// Result is how an attempt ended without an answer that stands.
type Result uint8

const (
	// Unsent means that the request has not left this daemon.
	Unsent Result = iota
	// Refused means that the target's gate refused it; the target never saw it.
	Refused
	// Declined means that the target stated that it did not run it.
	Declined
	// Failed means that the target answered with a failure.
	Failed
	// Broken means that the answer was lost: it may have run.
	Broken
	// Expired means that time ended it, or its caller: it may have run.
	Expired
)

const (
	// MaxMoves bounds the targets whose gates refuse one request.
	MaxMoves = 3
	// promptMoves is the number of gates that are asked for an answer within
	// the goal; the next one may let the request wait longer.
	promptMoves = 2
	// maxOpen is the number of attempts that may be open at a time.
	maxOpen = 2
	// unknownRetry is the mean time after which a caller may come again when no
	// gate has named one.
	unknownRetry = 300 * time.Millisecond
	// minRetry is the shortest mean of that time: callers come again a few times
	// only, and what refused them takes some time to change.
	minRetry = 50 * time.Millisecond
)

// Options are the properties of a request that its tries depend on.
type Options struct {
	Runs     types.Runs
	Attempts int // targets that the request may reach
}

// Tries is the state of one request. It is not safe for concurrent use.
type Tries struct {
	opts    Options
	moves   int           // attempts that no target saw
	reached int           // attempts that a target saw, or may have seen
	ran     bool          // an attempt may have run
	expired bool          // the last one was ended by time
	retry   time.Duration // shortest hint of a gate, 0 for none
	reason  string
}

// New returns the state of a request before its first attempt.
func New(o Options) *Tries { return &Tries{opts: o} }

// Record notes the end of an attempt. The reason is for people; retry is when the
// gate that refused it, or that of the target that did, expects room, 0 if it
// doesn't say.
func (t *Tries) Record(r Result, reason string, retry time.Duration) {
	t.reason = reason
	t.expired = r == Expired
	if retry > 0 && (t.retry == 0 || retry < t.retry) {
		t.retry = retry
	}
	switch r {
	case Unsent, Refused:
		t.moves++
	case Declined:
		t.reached++
	default:
		t.reached++
		t.ran = true
	}
}

// mayRepeat reports whether a request that may have run can be sent again.
func (t *Tries) mayRepeat() bool { return t.opts.Runs == types.Idempotent }

// Again decides whether another target is tried. It calls budget, which takes
// one retry, only if that is what the decision depends on.
func (t *Tries) Again(budget func() bool) bool {
	if t.expired || t.ran && !t.mayRepeat() || t.moves >= MaxMoves {
		return false
	}
	if t.reached == 0 {
		return true
	}
	return t.reached < t.opts.Attempts && budget()
}

// Prompt decides whether the next gate is to refuse the request rather than
// answer it after its goal. That is of use only if others, targets that were
// not tried, are left.
func (t *Tries) Prompt(others bool) bool { return others && t.moves < promptMoves }

// MayHedge reports whether a second attempt may be sent while open ones are.
func (t *Tries) MayHedge(open int) bool {
	return t.mayRepeat() && open > 0 && open < maxOpen && t.reached+open < t.opts.Attempts
}

// Outcome returns what the caller may rely on after the last attempt.
func (t *Tries) Outcome() types.Outcome {
	switch {
	case !t.ran:
		return types.NotRun
	case t.expired:
		return types.DeadlineExceeded
	}
	return types.Unknown
}

// RetryAfter returns when the caller of a request that has not run may find
// room: after the calls that wait now and those that arrive meanwhile. It is
// random, so that callers that were refused together don't return together.
func (t *Tries) RetryAfter(rng *rand.Rand) time.Duration {
	mean := unknownRetry
	if t.retry > 0 {
		mean = max(3*t.retry, minRetry)
	}
	return mean*2/3 + time.Duration(rng.Int64N(int64(mean*2/3)+1))
}

// Moves returns the number of attempts that no target saw.
func (t *Tries) Moves() int { return t.moves }

// Reached returns the number of attempts that a target saw, or may have seen.
func (t *Tries) Reached() int { return t.reached }

// Reason returns why the last attempt failed, "" before one did.
func (t *Tries) Reason() string { return t.reason }
