package tries_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"trefoilthread/core/tries"
	"trefoilthread/core/types"
)

func always() bool { return true }
func never() bool  { return false }

// Guards against an at-most-once request that runs twice, and against the outcome
// NotRun for a request that may have run, for any sequence of results.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		runs := types.Runs(rapid.IntRange(0, 1).Draw(t, "runs"))
		attempts := rapid.IntRange(1, 4).Draw(t, "attempts")
		try := tries.New(tries.Options{Runs: runs, Attempts: attempts})
		mayHaveRun, reached, sent := 0, 0, 0
		for {
			sent++
			r := tries.Result(rapid.IntRange(int(tries.Unsent), int(tries.Expired)).Draw(t, "result"))
			try.Record(r, "", 0)
			if r >= tries.RefusedByTarget {
				reached++
			}
			if r >= tries.Failed {
				mayHaveRun++
			}
			if !try.ShouldRetry(func() bool { return rapid.Bool().Draw(t, "budget") }) {
				break
			}
			if runs == types.AtMostOnce && mayHaveRun > 0 {
				t.Fatal("at-most-once request was sent again after an attempt that may have run")
			}
		}
		if runs == types.AtMostOnce && mayHaveRun > 1 {
			t.Fatalf("at-most-once request may have run %d times", mayHaveRun)
		}
		if reached > attempts {
			t.Fatalf("%d attempts reached a target, want at most %d", reached, attempts)
		}
		if sent > attempts+tries.MaxUndelivered {
			t.Fatalf("%d attempts, more than allowed", sent)
		}
		if (try.Outcome() == types.NotRun) != (mayHaveRun == 0) {
			t.Fatalf("outcome %s, but %d attempts may have run", try.Outcome(), mayHaveRun)
		}
	})
}

// Guards against retries after a gate's refusal that use up the retry budget, and
// against retries without budget after an attempt that reached a target.
func TestBudgetIsForTargetsThatWereReached(t *testing.T) {
	is := is.New(t)
	try := tries.New(tries.Options{Attempts: 3})
	try.Record(tries.RefusedByGate, "full", 0)
	is.True(try.ShouldRetry(never))
	try.Record(tries.AnswerLost, "reset", 0)
	is.True(!try.ShouldRetry(never))
	is.True(try.ShouldRetry(always))
}

// Guards against refusing a request that could wait in the queue of the only
// target left: in incident inc-06d4, 1,300 requests in 10 s were refused without
// having been queued.
func TestOnlyTargetMayLetTheRequestWait(t *testing.T) {
	is := is.New(t)
	try := tries.New(tries.Options{Attempts: 2})
	is.True(try.PromptOnly(true))
	is.True(!try.PromptOnly(false))
	try.Record(tries.RefusedByGate, "late", 0)
	try.Record(tries.RefusedByGate, "late", 0)
	is.True(!try.PromptOnly(true))
}

// Guards against callers that were refused together and all retry together, just
// after the queue that refused them has emptied.
func TestRetryAfterSpreads(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 2))
	try := tries.New(tries.Options{Attempts: 2})
	try.Record(tries.RefusedByGate, "full", 200*time.Millisecond)
	try.Record(tries.RefusedByGate, "full", 100*time.Millisecond)
	seen := make(map[time.Duration]bool)
	for range 100 {
		d := try.RetryAfter(rng)
		is.True(d >= 200*time.Millisecond && d <= 400*time.Millisecond)
		seen[d] = true
	}
	is.True(len(seen) > 50)
}

// Guards against a delay that is too long after a refusal by a target that still
// has capacity: when all targets of a service refused some requests for 8 s, one
// lookup in six was late. Also guards against a delay so short that callers use
// up their retries at once.
func TestRetryAfterOfATargetWithRoom(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 2))
	for _, c := range []struct{ hint, least, most time.Duration }{
		{30 * time.Millisecond, 60 * time.Millisecond, 120 * time.Millisecond},
		{time.Millisecond, 33 * time.Millisecond, 67 * time.Millisecond},
		{0, 200 * time.Millisecond, 400 * time.Millisecond},
	} {
		try := tries.New(tries.Options{Attempts: 1})
		try.Record(tries.RefusedByTarget, "target refused", c.hint)
		for range 100 {
			d := try.RetryAfter(rng)
			is.True(d >= c.least && d <= c.most)
		}
	}
}

// Guards against a hedged attempt beyond the route's number of attempts, and of
// an at-most-once request.
func TestHedges(t *testing.T) {
	is := is.New(t)
	is.True(tries.New(tries.Options{Attempts: 2}).MayHedge(1))
	is.True(!tries.New(tries.Options{Attempts: 1}).MayHedge(1))
	is.True(!tries.New(tries.Options{Attempts: 3}).MayHedge(2))
	is.True(!tries.New(tries.Options{Attempts: 2}).MayHedge(0))
	is.True(!tries.New(tries.Options{Runs: types.AtMostOnce, Attempts: 2}).MayHedge(1))
}
