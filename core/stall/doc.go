// Package stall detects connections that have stopped responding while new
// connections to the same endpoint would work.
//
// A Tracker monitors the connections to one peer or one target. The caller
// reports each event on a connection to it and calls Check at regular
// intervals, which returns the connections to abandon. Inactivity alone is not
// sufficient, as a slow target is inactive as well. The two kinds of Tracker
// differ in the additional condition.
//
// Activity on a connection is progress or the answer to a ping. The inactivity
// of a connection is the time since its last activity or since something
// became outstanding on it, whichever is later. Only connections with
// something outstanding are pinged or abandoned.
//
// # Peer
//
// The daemon at the other end of a QUIC connection answers a ping at any time,
// however slow its target is. PingsDue returns the connections that have been
// inactive for half of StallAfter. A connection is abandoned when it has been
// inactive for StallAfter and a ping has been unanswered for half of that.
// Without a ping it is never abandoned.
//
// A peer that gets no processor time is inactive as well. Before the caller
// closes a connection, it therefore opens a new one, which shows whether the
// peer or only the connection has stalled. Recovered reports whether the old
// connection has shown activity by then.
//
// # Target
//
// A target on TCP doesn't answer pings. A connection is abandoned when it has
// been inactive for StallAfter and for four times the 99 % latency quantile,
// and another connection to the same target made progress in the second half
// of that inactivity. A target that is inactive or slow on all connections is
// a straggler: new connections wouldn't help, and core/route moves its traffic
// away. The only connection to a target is therefore never abandoned.
//
// # A paused process
//
// After a pause of this process or its VM, all connections appear inactive,
// and what arrived during the pause hasn't been read yet. When two calls of
// Check are further apart than half of StallAfter, the inactivity of all
// connections is counted from the second one.
//
// # Memory
//
// A Tracker holds at most MaxConnections. Beyond that, a new connection
// replaces one without anything outstanding. If there is none, the new
// connection isn't tracked, which Untracked counts, and only deadlines end the
// calls on it if it stalls.
//
// A Tracker isn't safe for concurrent use.
//
// # Usage
//
//	t := stall.New(now, stall.Options{Kind: stall.Peer})
//	t.Sent(now, id, n)        // n bytes written, or 1 for each open request
//	t.Progress(now, id, n)    // as many of them were accepted or answered
//	for _, id := range t.PingsDue(now) {
//		// send a ping
//		t.PingSent(now, id)
//	}
//	t.PingAnswered(now, id)
//	for _, id := range t.Check(now) { // at least every StallAfter/2
//		// open a new connection, for StallAfter at most
//		if !t.Recovered(id) {
//			// close the connection; the class of each call on it decides
//			// how the call ends
//			t.Closed(id)
//		}
//	}
package stall
