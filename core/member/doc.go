// Package member tracks the membership of a data centre: which targets are up,
// draining or gone. It also keeps each daemon's view of all data centres.
//
// The leader of a data centre keeps a Table. Daemons join it, send heartbeats and
// announce changes of state. The table removes a member that has missed three
// heartbeats, and writes one summary of the whole data centre to the store.
// Every daemon keeps a Directory, which merges the summaries of all data
// centres.
//
// # Incarnations
//
// A daemon that restarts joins with a higher incarnation. VMs keep no state, so
// a daemon cannot know its last one. A join of another process whose incarnation
// is not above the known one is refused with the known one, and the daemon joins
// again above it. A process is identified by a random number, so that the same
// process may join again after a change of leader.
//
// # Heartbeats
//
// The reply to each heartbeat gives the interval until the next one. It grows
// with the number of members so that the leader stays within its traffic bound.
// A change of state is sent at once, as an additional heartbeat.
//
// A leader may miss heartbeats that are sent while its process is paused. If the
// table was not called for longer than the heartbeat interval, every member gets
// one full timeout from then on. A new leader gives the same to the members that
// it takes over.
//
// # Summaries
//
// Summaries are ordered by the epoch of their leader, then by their sequence,
// which grows with each change. The table writes its summary to the store at
// most once a second and only if it has changed, as a compare-and-swap on the
// known revision. After a conflict or a lost answer it reads the key back: a
// summary of a lower epoch is replaced, and one of a higher epoch means that the
// table is deposed.
//
// A summary of 520 targets takes 31 KB, so a leader that sent it to each member
// at each change would exceed its traffic bound. It sends a Delta instead: the
// targets that have changed since the summary that the member has. This also
// works across a change of leader, if the member has the summary from which the
// new leader started.
//
// Directory ignores a summary that is not newer than the known one, so that all
// directories converge whatever the order and repetition of messages. It never
// removes targets because time has passed: during a store outage the last known
// ones stay, corrected by what responses show. Such an observation applies until
// a later record of the target replaces it. An observation that a target does
// not answer ends after five seconds, because a target that gets no calls cannot
// disprove it.
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
//	if !dir.ApplyDelta(dl) {
//		dir.MergeSummary(summary)
//	}
//	targets := dir.Targets(now, "rota")
package member
