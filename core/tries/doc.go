// Package tries decides after each attempt of a request that gave no final
// answer whether the request is retried on another target, whether the gate of
// that target may queue it beyond its goal, and which outcome the caller gets
// when no attempt is left. A gate is the admission control of core/admit at the
// daemon beside a target.
//
// # Retries
//
// An attempt that was not sent or that a gate refused has reached no target.
// While no attempt has reached one, a retry costs no budget and only
// MaxUndelivered bounds the retries. An attempt that reached a target, or may have, counts towards the
// route's attempts, and from then on each retry takes from the retry budget. An
// at-most-once request is not sent again after an attempt that may have run.
//
// # Outcome
//
// The outcome is NotRun only if no attempt may have run; the caller is then also
// told when to retry. Otherwise it is DeadlineExceeded if the last attempt
// expired, and Unknown if not.
//
// # Usage
//
//	t := tries.New(tries.Options{Runs: types.AtMostOnce, Attempts: 2})
//	for {
//		send(t.PromptOnly(others))
//		t.Record(tries.RefusedByGate, reason, hint)
//		if !t.ShouldRetry(takeRetry) {
//			return t.Outcome(), t.RetryAfter(rng)
//		}
//	}
package tries
