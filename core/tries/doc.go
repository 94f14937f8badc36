// Package tries decides how one request goes on after each attempt to have it
// answered: whether another target is tried, whether its gate may let the
// request wait, and what the caller is told in the end.
//
// # What may be repeated
//
// A refusal by a gate has reached no target: moving on costs no budget and is
// bounded by MaxMoves alone. An attempt that reached a target counts towards
// the route's attempts, and another one after it takes from the retry budget.
// A request that may run only once is not sent again after an attempt that may
// have run.
//
// # What the caller is told
//
// NotRun only if no attempt may have run; then also when to come back. Else
// Unknown, or DeadlineExceeded if time ended it.
//
// # Usage
//
//	t := tries.New(tries.Options{Runs: types.AtMostOnce, Attempts: 2})
//	for {
//		send(t.Prompt(others))
//		t.Record(tries.Refused, reason, hint)
//		if !t.Again(takeRetry) {
//			return t.Outcome(), t.RetryAfter(rng)
//		}
//	}
package tries
