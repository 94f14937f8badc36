package tries

import (
	"math/rand/v2"
	"time"

	"trefoilthread/core/types"
)

// Result tells how an attempt ended that gave no final answer.
type Result uint8

const (
	// Unsent means that the request has not left this daemon.
	Unsent Result = iota
	// RefusedByGate means that the target's gate refused the request, which did not
	// reach the target.
	RefusedByGate
	// RefusedByTarget means that the target received the request and stated that it did
	// not run it.
	RefusedByTarget
	// Failed means that the target answered with a failure; the request may have
	// run.
	Failed
	// AnswerLost means that the answer was lost; the request may have run.
	AnswerLost
	// Expired means that the deadline passed or the caller canceled; the request
	// may have run.
	Expired
)

const (
	// MaxUndelivered is the number of undelivered attempts, those that ended as
	// Unsent or RefusedByGate, after which a request is not retried.
	MaxUndelivered = 3
	// promptAttempts is the number of undelivered attempts after which a gate may
	// queue the request beyond its goal instead of refusing it.
	promptAttempts = 2
	// maxInFlight is the number of attempts that may be in flight at a time.
	maxInFlight = 2
	// defaultRetryAfter is the mean of RetryAfter when no gate has given a hint.
	defaultRetryAfter = 300 * time.Millisecond
	// minRetryAfter is the shortest mean of RetryAfter. Callers retry only a few
	// times, and the condition that caused the refusal takes time to change.
	minRetryAfter = 50 * time.Millisecond
)

// Options are the properties of a request that limit its attempts.
type Options struct {
	Runs     types.Runs
	Attempts int // largest number of attempts that reach a target
}

// Tries records the attempts of one request and decides on further ones. It is
// not safe for concurrent use.
type Tries struct {
	opts        Options
	undelivered int           // attempts that reached no target
	reached     int           // attempts that reached a target, or may have
	mayHaveRun  bool          // an attempt may have run
	expired     bool          // the last recorded result is Expired
	retryHint   time.Duration // shortest hint of a gate, 0 for none
	reason      string        // why the last recorded attempt failed
}

// New returns the state of a request before its first attempt.
func New(o Options) *Tries { return &Tries{opts: o} }

// Record records the end of an attempt. The reason is a text for people. The
// hint is the time until the gate of the target expects free capacity, 0 if
// unknown; the shortest hint of all attempts counts.
func (t *Tries) Record(r Result, reason string, hint time.Duration) {
	t.reason = reason
	t.expired = r == Expired
	if hint > 0 && (t.retryHint == 0 || hint < t.retryHint) {
		t.retryHint = hint
	}
	switch r {
	case Unsent, RefusedByGate:
		t.undelivered++
	case RefusedByTarget:
		t.reached++
	default:
		t.reached++
		t.mayHaveRun = true
	}
}

// mayRepeat reports whether a request that may have run can be sent again.
func (t *Tries) mayRepeat() bool { return t.opts.Runs == types.Idempotent }

// ShouldRetry decides whether the request is sent to another target. It calls
// takeRetry, which takes one retry from the budget and reports whether there was
// one, only if the decision depends on the budget.
func (t *Tries) ShouldRetry(takeRetry func() bool) bool {
	if t.expired || t.mayHaveRun && !t.mayRepeat() || t.undelivered >= MaxUndelivered {
		return false
	}
	if t.reached == 0 {
		return true
	}
	return t.reached < t.opts.Attempts && takeRetry()
}

// PromptOnly decides whether the next gate must refuse the request if it can't be
// answered within its goal. The refusal helps only if there are others, targets
// that have not been tried yet.
func (t *Tries) PromptOnly(others bool) bool { return others && t.undelivered < promptAttempts }

// MayHedge reports whether a hedged attempt may be sent while inFlight attempts
// are in flight. Only idempotent requests are hedged.
func (t *Tries) MayHedge(inFlight int) bool {
	return t.mayRepeat() && inFlight > 0 && inFlight < maxInFlight && t.reached+inFlight < t.opts.Attempts
}

// Outcome returns what the caller may rely on after the last attempt: NotRun,
// DeadlineExceeded or Unknown.
func (t *Tries) Outcome() types.Outcome {
	switch {
	case !t.mayHaveRun:
		return types.NotRun
	case t.expired:
		return types.DeadlineExceeded
	}
	return types.Unknown
}

// RetryAfter returns when the caller of a request that has not run should retry.
// Its mean is three times the shortest hint, because the caller's turn comes after
// the calls that wait now and those that arrive meanwhile, with a lower bound and
// a default without a hint. It is uniformly random from 2/3 to 4/3 of the mean, so
// that callers that were refused together don't retry together.
func (t *Tries) RetryAfter(rng *rand.Rand) time.Duration {
	mean := defaultRetryAfter
	if t.retryHint > 0 {
		mean = max(3*t.retryHint, minRetryAfter)
	}
	return mean*2/3 + time.Duration(rng.Int64N(int64(mean*2/3)+1))
}

// Undelivered returns the number of attempts that reached no target.
func (t *Tries) Undelivered() int { return t.undelivered }

// Reached returns the number of attempts that reached a target, or may have.
func (t *Tries) Reached() int { return t.reached }

// Reason returns why the last recorded attempt failed, "" if there is none.
func (t *Tries) Reason() string { return t.reason }
