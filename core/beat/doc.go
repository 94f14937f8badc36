// Package beat tracks the state of one target from the heartbeats that it sends.
//
// A target announces itself periodically to the daemon on its VM. Messages may
// arrive late and out of order, including those of an earlier start or of another
// target that had the address before. Starts are ordered by their start time
// (born), the messages of one start by their sequence number. A target that has
// sent its last message (Leave) stays Down for the rest of that start. One that has
// said in a response that it leaves stays Draining at least.
//
// # Usage
//
//	b := beat.New()
//	switch b.Announce(a) {
//	case beat.Changed:
//		// Publish b.Current().
//	case beat.Stale:
//		// Acknowledge without effect.
//	}
package beat
