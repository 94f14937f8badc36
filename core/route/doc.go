// Package route selects the target for a call.
//
// A Picker holds the targets of one service as one daemon sees them. It learns
// from three sources of different quality: the daemon's own calls, which are
// exact and current; load reports, which come with responses and are stale on
// arrival; and the membership, which says only which targets exist and their
// state.
//
// # Estimated wait
//
// The default policy Weighted draws a few targets at random and picks the one
// with the lowest score:
//
//	((1 + own + others) / slots x latency + one-way latency) x penalty / slow start
//
//	others = weight x last report + (1 - weight) x average of the reports
//
// own is the number of calls in flight from this daemon, and others the reported
// calls in flight and queued minus own, so that no call is counted twice.
// The weight of a report halves with each four average latencies of a call, at least 50 ms
// and at most 1 s; the average of all reports takes the remaining weight: if old
// reports faded to zero, the targets without a recent report would look idle and
// attract the calls. The constant 1 is the call to be placed: without it all idle
// targets would be equal, however slow.
// penalty grows with the share of failed calls, and the slow-start weight grows
// from 0.1 to 1 in the 5 s after a start.
//
// Latency is the average of this daemon's calls minus the round trip, which the
// score accounts for separately, or the average of the target's last report if
// that is longer. The report covers the calls of all daemons; with many daemons
// each of them sees too few calls of its own to notice a slowdown in time.
// Failed calls count only when they took longer than the average: a target that
// fails fast must not look fast. While the oldest call in flight is older than
// twice the average, half its age takes the place of the average, so that a
// straggler loses traffic before any of its calls ends. Without calls in flight, an
// excess over the service's average and the share of failures halve each
// second, so that old results don't determine the choice for ever.
//
// A target without a call for 5 s has only the service's average, which may stay above the
// own average of the targets in use. Once in 15 s, the candidates of a decision are
// therefore also compared as if those without recent calls were as fast as the fastest
// other one, and the result counts if it differs. Targets in use need no such comparison.
// A recent report by which a target is slow counts in this comparison as well.
//
// # Host slowdown
//
// A report may carry the present slowdown factor of the target's host: 1 is the
// normal speed, 2 means that work takes twice as long. Noisy neighbours on the
// host change it several times a second, which averages show too late. The score
// of such a target is
//
//	((1 + 2 x load / slots) x latency x slowdown + one-way latency) x penalty / slow start
//
// with load = 1 + own + others, so that the service time of the call counts and
// not only its wait. The factor decays to 1 with a half-life of 1 s. ApplyReport
// accepts a report that came without a response. Its number of calls doesn't replace one
// that is at most a second old, as all callers get such a report at the same moment.
//
// # Suspension
//
// A target is suspended when its oldest call is older than three times the 95 %
// latency quantile of the service, at least 20 ms, or when more than half of
// its recent calls failed. It then gets one trial call at a time, with pauses
// that double from 100 ms to 5 s, until one ends well. One that is canceled before
// that age doubles no pause. Trial calls are at most one in 200 calls of this daemon to
// the service, or one in 5 s. A retry is never a trial call. When more than half of the
// targets are suspended, suspension is ignored: the fault is then more likely in the calls or in this daemon, and
// the remaining targets couldn't carry the load. The score still applies.
//
// A target to whose daemon no connection could be made is left out for a second, or until
// it reports, however few others are left; if none is, it is tried nevertheless.
//
// # Data centres
//
// Sampling three targets of all data centres would send most calls to other
// ones even when the nearest is idle. The targets of the nearest data centre,
// of those at up to four times the next distance, and all others are therefore
// sampled separately, and the lowest score wins: the near target is used until
// its queueing outweighs the one-way latency, and then one of the same region.
//
// # Long bodies
//
// The one-way latency of a call with a body includes the time that the body takes on the
// slower one of the links of both VMs. Beyond a length, the distance to another data
// centre grows with the length, since traffic between data centres is paid for. A target
// without a link speed is on this VM, or its link isn't known.
//
// # Subset
//
// Above Options.Subset targets, a Picker uses those with the highest
// rendezvous hash of (daemon, target). At most two thirds of the subset go to the
// nearest data centre first, so that a large service has near targets in
// every subset; the rest is filled from all others. PickFor ignores the subset,
// because all daemons must select the same target for a fingerprint.
//
// # Herding
//
// Daemons that hold the same report differ in their random source. Sampling
// bounds the share of calls that meets any one target to Choices in the number
// of targets; with few targets the sample is limited to about half of them.
//
// # Drain
//
// Draining and down targets are never picked. A report that says draining
// holds until the membership has a newer state, at most 30 s. If the target still
// drains after that, it refuses the next call as not run, and the report that
// comes with the refusal renews the 30 s.
//
// # Explanations
//
// Explain lists the targets as the next decision would see them, with what excludes them, and
// changes nothing.
//
// # Usage
//
//	p := route.New(route.Options{Self: self, DataCentre: dc, Distance: distance, Seed: seed})
//	p.Update(now, targets)
//	t, ok := p.Pick(now, tried)
//	if !ok {
//		// no target is left
//	}
//	tok := p.Start(now, t.ID())
//	// send the call
//	p.Finish(now, tok, route.Result{Latency: latency, Outcome: types.Done, Report: report, HasReport: true})
//
// Every Start needs a Finish, also for canceled calls: the tables grow with the
// calls in flight. A Picker isn't safe for concurrent use.
package route
