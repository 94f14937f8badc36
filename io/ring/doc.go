// Package ring provides the bounded buffer between two goroutines of a daemon.
//
// A full ring never blocks its writer: Put returns false and the writer does
// what its own contract says, for example counts a lost log line or refuses a
// call. So one slow task cannot hold up another, and memory stays bounded.
//
// # Usage
//
//	r := ring.New[event](256)
//	if !r.Put(ev) {
//		dropped.Inc(1)
//	}
//	for {
//		ev, err := r.Take(ctx)
//		if err != nil {
//			return err
//		}
//		handle(ev)
//	}
package ring
