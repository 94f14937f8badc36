// Package retry decides whether another attempt of a call may start: a retry
// on another target after a failure, or a hedged request while an attempt is
// still running.
//
// # Rules
//
// An at-most-once call is sent again only with proof that nothing ran, and is
// never hedged. Only the first hop (depth 0) retries attempts that may have
// run, and only it hedges: if each of nine hops did, the attempts would
// multiply. A refusal with proof that nothing ran is retried at every hop,
// because no earlier hop can do it without running more.
//
// Only the argument provenNotRun counts as proof. An outcome "notRun" in the
// answer of a target may be that of a call which the target itself made after it
// had done part of its work.
//
// # Budgets
//
// There is one Budget and one Hedger per service. Retries are bounded by the
// larger of 10 % of the calls and 3 per second, so that a service with few
// calls can retry at all. Hedged requests are bounded by 5 % of the calls, with
// no floor. With all targets failing, the attempts therefore stay under 1.2
// times the calls of any service with more than 20 calls per second; below
// that, the floor adds up to 3 attempts per second. Retries of refused calls
// use the same budget as others, so that an overload does not cause more calls.
//
// TakeFor keeps a budget for the more urgent requests: for a second after a retry was
// denied, less urgent requests get no retry and no hedge.
//
// A hedged request starts after the 0.95 quantile of the latency in the
// previous window, or in the current one if the previous has too few samples;
// with too few samples in both, nothing is hedged. The caller cancels the
// attempt that has not answered first.
//
// # Hedge limit
//
// A HedgeLimit bounds the hedged requests of a service at a daemon by a share that
// operators set. It also holds them back while the service is near its saturation,
// if no other target is likely to be faster, if the other target is cold, or if the
// daemon stops. What is used isn't returned when an attempt is canceled, because the
// cancellation may be lost. A HedgeLimit is used in place of the share of a Hedger,
// which then measures the delay only.
//
// None of the types is safe for concurrent use; the caller must lock.
//
// # Usage
//
//	b, h := retry.NewBudget(retry.BudgetOptions{}), retry.NewHedger(retry.HedgerOptions{})
//	b.RecordCall(now)
//	h.RecordCall()
//	// After an attempt has failed:
//	a := retry.Decide(c, c.Depth(), outcome, provenNotRun, triesLeft, replayable, b.Available(now))
//	if a == retry.Retry {
//		b.Take(now)
//	}
//	// When the delay of h.Delay(now) has passed without an answer:
//	a = retry.Decide(c, c.Depth(), retry.Pending, false, triesLeft, replayable, h.Available())
package retry
