// Package probe limits the time that measurements take from a target. All probes
// and load queries need a grant from its Budget.
//
// A probe takes about 6 ms of the target's time, and measurements are needed
// most when the target is busiest. The budget is therefore a hard bound: the
// costs granted in any window of length W, wherever it starts, sum to at most
// the budget. A token bucket doesn't guarantee that: it admits its burst and the
// refill of the same window, which is up to twice the budget.
//
// Budget keeps the grants of the last window and grants a cost only if the sum
// of the window that ends now stays within the budget. That is enough for all
// windows: the sum of a window is at most the sum of the window of the same
// length that ends at its last grant, and that one was checked. Windows are
// closed: two grants that are exactly W apart share a window.
//
// The grants of a previous process are unknown, so a new Budget grants nothing
// for one window. Nothing is granted while the time is before the latest grant,
// because grants that have left the window would be in it again.
//
// A lower budget applies from the next decision; costs already granted are not
// withdrawn. Memory is bounded: beyond a fixed number of grants, a new grant is
// added to the latest record, which then counts as granted now. This can only
// delay later grants.
//
// A Budget isn't safe for concurrent use.
//
// # Usage
//
//	b := probe.New(now, probe.Options{Budget: 10 * time.Millisecond, Window: time.Second})
//	if d := b.Grant(now, probe.Cost); d.Granted() {
//		// send the probe
//	} else {
//		// ask again after d.Wait(), or go on with the daemon's own observations
//	}
package probe
