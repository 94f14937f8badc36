// Package enrol keeps an agent's record in the store, and deletes the records of other agents
// that are gone.
//
// A record (Record) tells the other agents the address of an agent and its target. The key is that
// of the agent (Key), and the revision orders the records of all its starts. Decode refuses what
// another writer may have left there.
//
// # Own record
//
// A Registration first makes the record of an earlier start of the agent known: Claim replaces it
// by the first announcement of the target, Read reads it. From Begin on, Run writes what
// Options.Value returns, by compare-and-swap, at each RequestWrite and after the store has lost or
// reverted the record (Learn, LearnMissing). It holds no lease. Withdraw deletes the record at a
// planned stop if the target has left.
//
// Record.Since is kept over restarts: it is taken over from the record of an earlier start, and
// begins anew when the store has none.
//
// # Other agents
//
// A Cleaner probes the agents that it has to watch and that are silent, and deletes the records of
// those that don't answer, as core/prune decides, at the revision that is known.
//
// # Failures
//
// A failed write is repeated after a delay that grows to about a second. After one of unknown
// outcome the revision is read first, so that a delayed write can't replace a later record. A
// record that was deleted though its agent is alive is written again. Nothing is kept on disk.
//
// # Usage
//
//	r := enrol.New(enrol.Options{
//		Store: st, Clock: clock, Log: l, Self: "vm-1", Value: present, OnPrevious: restoreTarget,
//	})
//	go r.Run(ctx)
//	r.Learn(item) // for each change of the record in the store
//	if !r.Claim(ctx, present(), follows) {
//		return errUnavailable
//	}
//	r.Begin()
//	r.RequestWrite()
//	r.AwaitWrite(ctx)
package enrol
