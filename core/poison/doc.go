// Package poison keeps the requests that may crash targets: the ones in flight
// at the local target, the suspects, and the quarantined ones.
//
// # Rule
//
// Each request in flight when a target dies gets that death on its record.
// With one death that was not cleared it is a suspect, with two it is
// quarantined and runs nowhere. A suspect runs only as a trial: on one target
// that all daemons choose alike (TrialTarget), alone among suspects there
// (AdmitTrial). A trial that gets a complete response clears the recorded
// deaths. So a request that crashes each target kills one target as an unknown
// request and one as a trial. A harmless request that was in flight with it at
// the first death cannot be in flight with it at the second unless it was
// cleared before, and then it has only one death.
//
// A quarantine lasts Expiry from the latest death. After it the request is
// released (Released): a suspect again, which runs as a trial and is not sent
// again if that breaks off. Its caller may still be sending it, so the end of the
// quarantine is no proof. A trial of a released request that breaks off counts as
// a death at once. Each death on trial doubles the length of the next
// quarantine, up to 32 times Expiry.
//
// Each refusal (Refuse) extends the quarantine at the daemon that refused: it ends when the
// request hasn't come for the length of the quarantine, at most four times that length
// after the latest death. The bound lets a harmless request that is sent all the time
// get its trial. Refusals aren't sent to other daemons. One that has refused none lets the
// request run as a trial, at a target whose daemon hasn't either.
//
// A connection to a dying target often breaks before the daemon notices the
// death. A run that broke off therefore counts as in flight for Grace, and no
// trial is admitted in that time: the target may be dead already, and the
// trial would be blamed for it. A canceled run also counts as in flight for
// Grace, because the target may still be working on it, but keeps trials off
// only if it is a suspect: losing hedged requests are canceled all the time.
//
// # Merge
//
// A death is identified by target, incarnation of the daemon, and its number
// in that incarnation. Daemons exchange entries with all recorded deaths.
// Learn takes the union of the deaths; a death that is cleared in either is
// cleared, and the earlier of two times counts. So neither the order nor the
// number of messages matters, and a report that arrives again after a trial
// brings no cleared suspicion back. Ages are sent instead of times, because
// clocks of daemons differ.
//
// # Bounds
//
// An entry with one death expires Expiry after it, another one 32 times Expiry
// after the latest time at which its quarantine may end. A cleared entry is kept as
// long, or a late report would bring the suspicion back. A record keeps its 16 latest
// deaths. The table holds at most Capacity entries; a full one keeps
// quarantined entries before suspects and those before cleared ones, and among
// equals the ones with the latest death. The merge is independent of the order
// as long as none of these bounds is reached.
//
// A Table is not safe for concurrent use; the caller locks.
//
// # Usage
//
//	t := poison.New(poison.Options{Target: "bookings-3", Incarnation: 7})
//	if wait, ok := t.Refuse(now, fp); ok {
//		// Refuse as quarantined; the caller may come again after wait.
//	}
//	switch t.Check(now, fp) {
//	case poison.Suspect:
//		if !t.AdmitTrial(now, fp) {
//			// Refuse as not run; the call may come again.
//		}
//	case poison.Clear:
//		t.Begin(now, fp)
//	}
//	// After the run, ok meaning a complete response (true: there is news to tell):
//	if t.End(now, fp, ok) {
//		send(t.Entries(now, []types.Fingerprint{fp}))
//	}
//	// When the target has died:
//	send(t.Entries(now, t.TargetDied(now)))
//	// With entries from another daemon:
//	t.Learn(now, entries)
package poison
