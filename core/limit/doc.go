// Package limit implements the adaptive concurrency limit of the local target
// and the latency averages from which it is computed.
//
// The slots of a target state how many calls it runs at a time on an idle
// host. A noisy neighbour on the host lowers that number without notice. The
// limit follows it by additive increase and multiplicative decrease: while the
// target is busy and its latency is normal, it grows by one each time that as
// many calls as the limit have ended, and it is multiplied by 3/4 when the
// latency exceeds twice the long-term minimum. It stays between a quarter of the
// slots and all of them, and starts at all of them.
//
// Calls of different kinds take different times, and their mix changes from
// one second to the next. Each kind therefore has its own averages and its own
// minimum, so that a change of the mix does not look like a slow target. The
// minimum is that of a slowly moving average rather than of single calls,
// because the fastest single call says nothing about the load that the target
// can take. It covers the last one to two windows of 30 s; a slowdown that lasts
// longer becomes the new normal, and the limit rises again.
//
// A failed call counts only if it took longer than the average: fast failures
// would otherwise lower the minimum and make every healthy call look slow.
//
// A Limit is not safe for concurrent use; its owner (core/admit) is called with
// the lock of the daemon held.
//
// # Usage
//
//	l := limit.New(limit.Options{Max: 12})
//	if running < l.Value() {
//		// Start the call. When it ends:
//		l.Observe(now, kind, service, running, failed)
//	}
package limit
