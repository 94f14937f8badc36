// Package beat decides what the messages of a target say about it.
//
// A target announces itself again and again to the daemon beside it. Messages
// may come late and out of order, also those of an earlier start or of another
// target that had the address before. The start time (born) orders starts, the
// sequence number orders the messages of one start. A target that has said
// that it is gone stays gone in that start.
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
