// Package stall finds connections that stopped responding for good while new
// ones would work.
//
// A Tracker follows the connections to one peer or one target. It receives an
// event for each thing that happens on a connection and, at regular intervals,
// Check returns the connections to abandon. Silence alone proves nothing: a
// slow target is silent as well. The two kinds of Tracker differ in the
// evidence they need.
//
// # Peer
//
// The process behind a QUIC connection between daemons answers a ping at any
// time, however slow its target is. PingsDue returns the connections on which
// something is outstanding and nothing came for half of StallAfter. A
// connection is abandoned when nothing came for StallAfter, and its ping has
// been unanswered for half of that. Without a ping it is never abandoned.
// A peer that gets no processor time is silent as well: before a connection is
// closed, a new one shows whether the peer or only the connection is silent,
// and Recovered tells if the old one has shown a sign of life by then.
//
// # Target
//
// A target on TCP doesn't answer pings. A connection with something
// outstanding is abandoned when nothing came for StallAfter and for four times
// the 99 % latency quantile, while another connection of the same target made
// progress in that time, later than half of the silence. A target that is
// silent or slow on all connections is a straggler: new connections wouldn't
// help, and core/route moves its traffic away. The only connection to a target
// is therefore never abandoned.
//
// # A paused process
//
// After a pause of this process or its VM, all connections seem silent, and
// what arrived meanwhile hasn't been read. When two calls of Check are further
// apart than half of StallAfter, all silence starts anew.
//
// # Memory
//
// A Tracker holds at most MaxConnections. Beyond that, a connection without
// anything outstanding is forgotten; if there is none, the new one isn't
// tracked, which Untracked counts. It can then be abandoned only by deadlines.
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
//		// connect anew, for StallAfter at most
//		if !t.Recovered(id) {
//			// close the connection; calls on it end by their class
//			t.Closed(id)
//		}
//	}
package stall
