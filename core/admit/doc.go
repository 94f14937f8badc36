// Package admit implements admission control for the calls to one target. The
// daemon beside the target uses it to decide which calls run now, which wait,
// and which are refused. A refused call has not run, so the daemon that received
// it from the caller (its entry daemon) may send it to another target.
//
// # Limits
//
// At most Slots calls run at a time, and fewer if the adaptive limit of
// core/limit is lower or if there are fewer connections. Each accepted call,
// running or waiting, uses one connection: at most Connections calls are
// accepted, and at most Queue of them wait. A running call that is canceled
// keeps its slot until Done, because the target may still be working on it and
// cannot be asked; another call in that slot could exceed the target's slots.
//
// A target in need may name the number of calls a second that it takes. SetRate
// limits the starts to that; a quarter of a second of unused starts is made up
// for. The limit counts in the estimated wait of a call, and in the reported
// number of slots.
//
// # Cold targets
//
// SetColdRate limits the starts at a cold target in addition to SetRate. While that limit
// holds, a call that it would let start only after its goal is refused and doesn't wait.
//
// # Offered bodies
//
// The body of a call may be sent only when the call has a place. Forecast decides that
// without changing the gate. Expect counts the call while its body is on its way, Unexpect ends
// that, and Arrive takes the place of Offer when the body is complete.
//
// # Order
//
// A call is either urgent or normal, and each of these two groups has a queue.
// Urgent calls run first, in order of their deadlines. Normal calls run in order
// of their worth rate, the worth per second of slot time: the worth of the call
// divided by the mean service time of its kind. A share of the running calls
// (UrgentShare, rounded up, but never the last slot) is reserved for urgent
// calls. Neither group starves the other:
//
//   - While a normal call waits and fewer normal calls run than there are slots
//     that are not reserved, at most 7 successive grants go to urgent calls, so
//     the first normal call runs within 8 grants. If its worth rate is higher
//     than that of the first urgent call, the bound is 2, and it runs within 3
//     grants.
//   - While an urgent call waits, at most 1 of 3 successive grants goes to a
//     normal call, so the first urgent call runs within 2 grants. The bound is 1
//     of 8 if the normal call has the lower worth rate.
//
// Within a group, and without customers, the order is strict: a normal call with a
// low worth rate can wait until it is refused because of its deadline.
//
// # Customers
//
// A call may have a customer with a rank. The rank goes before the order within
// a group. Calls of one rank and kind run in turn: that of the customer whose
// last start is the longest ago is next. If the queue is full, or if a call would
// be refused for its goal, a customer that holds more than its even share of the
// waiting calls of its rank loses its newest one for a call of a customer that
// holds less. If the served share of a customer's calls is below 0.35 of that of
// all calls, every second start goes to its oldest waiting call; every fourth, if
// calls without a customer and of a higher worth rate wait. Without customers, none
// of this has an effect.
//
// # Ranks
//
// A call may have the rank of its route, 0 for the most urgent. While a gate serves
// the calls of a rank in a smaller share than those of a less urgent one with a
// lower worth rate, a call of the latter may start in a free slot, but doesn't wait:
// it is refused. Calls with a late goal would otherwise fill the slots in each lull,
// and those with an early one be refused. Only calls of customers of one rank are
// compared, and not those of customers of rank 7 and above. If all calls have the same rank, this has no effect.
//
// # Goals
//
// A call may have a goal, the time at which its answer loses most of its worth.
// A waiting call that would miss its goal is ordered by a tenth of its worth, so
// that it does not delay calls that can still meet theirs. If the waiting calls
// that can meet their goal are more than a quarter of the calls that may run, it
// is refused instead; those of less urgent routes that would run after it even then
// don't count. A call for which only a prompt answer is useful
// (PromptOnly) is refused whenever it would miss its goal, because its entry
// daemon can try other targets.
//
// # Kinds and pace
//
// Calls of one kind take about the same time. Each kind has its own estimates;
// calls without a kind share those of their class.
//
// The pace of a host is the time that work takes on it relative to the usual
// time: 1 is usual, 2 is twice as long. SetPace sets the pace of the target's
// host. A call keeps the pace at which it started. Estimates are stored for the
// usual pace and multiplied by the present pace for a call that would start now.
// A call that would end sooner if it started later, after a slow spell of the
// host or after the warm-up of a target that has just started, waits for that
// even if slots are free. With PromptOnly it is refused instead.
//
// # Full queue
//
// When the queue is full, a new call displaces the waiting call of least value
// if its own value is higher. An urgent call is more valuable than a normal one;
// within a group the worth rate decides. Urgent calls cannot displace normal
// calls from an eighth of the queue (at least one place if the queue has two),
// while normal calls can displace urgent calls from it: without these places,
// the grants above would not help normal calls, as none could wait for them. The
// refusal of the displaced call is among the events of the next method that
// returns events; Pending returns it at once.
//
// # Deadlines
//
// A call is refused at once if its remaining time is shorter than its estimated
// wait and service time. The wait is the number of grants up to and including
// its own, times the average latency, divided by the limit. The service time is
// the median of the call's kind rather than the mean: one slow call in ten would
// otherwise cause the fast nine to be refused. Estimates lose half their value
// for each second without a sample of their kind, because an estimate that
// causes every call to be refused would never be corrected otherwise. Until a
// call of the kind has ended, a third of the time to a call's goal or to its
// deadline, whichever is earlier, is used as its service time, and less at a pace
// above 3, so that it refuses no call that can start at once for its deadline. Without
// a goal, only calls whose deadline has passed are refused.
//
// # Concurrency
//
// A Gate is not safe for concurrent use; the caller must lock. Returned slices
// of events belong to the caller.
//
// # Usage
//
//	g := admit.New(admit.Options{Slots: 12, Connections: 250})
//	t, v := g.Offer(now, call)
//	deliver(g.Pending())
//	switch v {
//	case admit.Refuse:
//		return types.NewFailure(types.NotRun, t.Reason())
//	case admit.Wait:
//		// An event with this ticket follows: Run or Refuse.
//	case admit.Run:
//		// Run the call, then:
//		deliver(g.Done(now, t, service, failed))
//	}
package admit
