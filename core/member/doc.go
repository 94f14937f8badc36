// Package member decides which targets of a data centre are up, draining or
// gone, and keeps each daemon's view of all data centres.
//
// Table is kept by the leader of one data centre. Daemons join it, send
// heartbeats and announce changes of state; the table drops a member that has
// missed three heartbeats and writes one summary for the whole data centre to
// the store. Directory is kept by every daemon; it merges the summaries of all
// data centres.
//
// # Incarnations
//
// A daemon that restarts joins with a higher incarnation. VMs keep no state, so
// a daemon cannot know its last one: a join that is not newer than the known
// one, from another process, is refused with the known number, and the daemon
// joins again above it. A process is recognised by a random number, so that the
// same process may join again after a change of leader.
//
// # Heartbeats
//
// The reply to each heartbeat gives the interval until the next one. It grows
// with the number of members so that the leader stays within its traffic bound.
// A change of state is sent at once, as a heartbeat out of turn.
//
// A leader may not have heard heartbeats that were sent while it did not run.
// If the table was not called for longer than the heartbeat interval, every
// member gets one full time-out from then on. A new leader gives the same to
// the members it takes over.
//
// # Summaries
//
// A summary is ordered by the epoch of its leader, then by its sequence, which
// grows with each change. The store gets it at most once a second and only if
// it changed, as a compare-and-swap on the revision known. A conflict or a lost
// answer is resolved by reading back: a summary of a lower epoch is replaced, a
// higher one means that the table is deposed.
//
// A summary of 520 targets takes 31 KB, so a leader that sent it to each member
// at each change would exceed its traffic bound. It sends a Delta instead: the
// targets changed since what the member has, also across a change of leader if
// the member has what the new leader started from.
//
// Directory refuses a summary that is not newer, so that all directories agree
// whatever the order and repetition of messages. It never drops targets because
// time passes: during a store outage the last known ones stay, corrected by
// what responses say. Such an observation holds until a later record of the
// target replaces it; an observation that a target does not answer ends after
// five seconds, because a target without calls could not disprove it.
//
// Neither type is safe for concurrent use.
//
// # Usage
//
//	t, err := member.NewTable(now, member.TableSpec{
//		DataCentre: "muscat-a", Epoch: epoch, Stored: item.Value, Revision: item.Revision,
//		Known: dir.Summary("muscat-a"),
//	})
//	if err != nil {
//		return err
//	}
//	reply := t.Heartbeat(now, hb)
//	for _, a := range t.Tick(now) { // at t.NextWake(now)
//		// execute, then t.WriteDone or t.ReadDone
//	}
//	if dl, ok := t.Delta(reported.Epoch, reported.Sequence); ok {
//		push(dl) // otherwise t.Summary()
//	}
//	dir := member.NewDirectory()
//	if !dir.Apply(dl) {
//		dir.Merge(summary)
//	}
//	targets := dir.Targets(now, "rota")
package member
