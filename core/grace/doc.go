// Package grace decides which requests a daemon still takes during its planned stop.
//
// A request that has been passed on must be answered before the stop ends: one that is
// cut may have run, and its caller can't know. A request that is refused instead hasn't
// run, and its caller may send it again. In the first part of a stop all requests are
// taken, because callers hear of the stop only after some time and nearly all requests
// end in time. After that a request is taken only if its own deadline is over before
// the stop ends.
//
// # Usage
//
//	s := grace.New(now, grace.Options{Usual: 2900 * time.Millisecond, Length: 5300 * time.Millisecond})
//	deadline, ok := s.Deadline(now, deadline)
//	if !ok {
//		// refuse the request as not run, for s.Left(now)
//	}
package grace
