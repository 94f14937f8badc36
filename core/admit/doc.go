// Package admit decides at the daemon beside a target which calls run now,
// which wait, and which are refused. A refused call has not run, so its entry
// daemon may send it to another target.
//
// # Bounds
//
// At most Slots calls run, fewer when the adaptive limit of core/limit is
// lower or when there are fewer connections. Each accepted call, running or
// waiting, counts as one connection: at most Connections calls are accepted,
// and the queue holds at most Queue of them. A canceled call keeps its slot
// until Done, because the target may still be working on it and cannot be
// asked; a second call in that slot could exceed the target's slots.
//
// # Order
//
// Urgent calls run first, by deadline. Other calls run by worth per
// slot-second: their worth divided by the average time of a call of their
// kind. A share of the running calls (UrgentShare, rounded up, but never the
// last slot) is reserved for urgent calls. Neither sort starves the other:
//
//   - while a call that is not urgent waits and its sort holds less than the
//     slots that are not reserved, at most 7 successive grants go to urgent
//     calls, so that the first of them runs within 8 grants; at most 2 if it is
//     worth more per slot-second than the first urgent call, within 3 grants;
//   - while an urgent call waits, at most 1 of 3 successive grants goes to
//     another call, so that the first of them runs within 2 grants; 1 of 8 if
//     the other call is worth less.
//
// Within a sort the order is strict: a call of little worth can wait until its
// deadline makes it be refused.
//
// # Goals
//
// A call may carry a goal, the time at which its answer loses most of its worth.
// A waiting call that would miss it counts a tenth of its worth in the order, so
// that it holds up no call that can still meet its own; while more calls wait
// that can meet theirs than a quarter of the slots, it is refused. A call that
// asks for a prompt answer only is refused whenever it would miss its goal: its
// entry daemon has other targets left.
//
// # Kinds and pace
//
// Calls of one kind take about the same time; each kind has its own estimates,
// a call without a kind those of its class. SetPace tells how long work takes on
// the target's host now, 1 as usual. A call keeps the pace at which it started:
// the estimates are of the usual pace, and multiplied by the present one for a
// call that would start now. A call that would end sooner if it started after
// the slow spell, or when a target that has just started is warm, waits for that,
// though there are free slots; if it asks for a prompt answer, it is refused
// instead.
//
// # Full queue
//
// A new call displaces the waiting call of least value if it is worth more.
// An urgent call is worth more than another; within a sort the worth per
// slot-second decides. An eighth of the queue, at least one place if it has
// two, can be taken from urgent calls but not by them, because the grants
// above would be of no use to calls that cannot wait for them. The displaced
// call appears in the events of the next method that returns events; Pending
// returns it at once.
//
// # Deadlines
//
// A call is refused at once if its remaining time is shorter than its
// estimated wait and service time. The wait is the number of grants before and
// including its own, times the average latency, divided by the limit. The
// service time is the median of its kind rather than the average: one slow
// call in ten would otherwise have the fast nine refused. Estimates lose half
// their value each second without a sample of that kind, so that one that
// refuses every call corrects itself. Before anything has been measured, a third
// of the time to its goal stands for a call's own; without a goal, only calls
// whose deadline has passed are refused.
//
// # Concurrency
//
// A Gate is not safe for concurrent use; the caller locks. Slices of events
// belong to the caller.
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
