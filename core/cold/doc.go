// Package cold decides whether a target counts as cold, and how many calls it takes then.
//
// A cold target crashes if it gets more calls a second than it takes. It becomes cold with
// a start, and at any other moment without one. Only its health responses and
// announcements say so, with the time that it stays cold. A Tracker holds the latest of
// them and the events since, and decides for the daemon beside the target:
//
//   - Information holds if it was sent after the last event. It says until when the target
//     is cold.
//   - After an event (a start of the target or of the daemon, a connection that was refused
//     or broke off) the target is presumed cold until information that was sent later says
//     otherwise.
//   - Without information for a second the target counts as cold. The daemon makes a health
//     check before the next call if the information is a tenth of a second old, or if as many calls
//     have started since as the bound has room for, so that happens only if checks fail or
//     their budget is used up.
//
// A target without health checks is presumed cold after an event for the configured time.
//
// Calls that start between the moment at which the target becomes cold and the one at which
// the daemon learns it are counted, and those beyond the bound are made up for by later
// starts (see Bound).
//
// # Usage
//
//	t := cold.New(now)
//	if t.NeedsCheck(now, bound.Spare(13)) {
//		t.Hear(sent, arrived, remaining)
//	}
//	if o := (cold.Options{Time: 3 * time.Second, HasChecks: true}); t.IsCold(now, o) {
//		perSecond, burst := bound.Limit(13)
//		gate.SetColdRate(now, perSecond, burst, bound.Debt(13, t.Unseen(now)))
//	}
//	t.Start(now)
package cold
