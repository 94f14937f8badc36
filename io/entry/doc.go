// Package entry takes calls from callers, and from the own target that calls
// other services, and brings each to a target through the daemon beside it.
//
// Server speaks HTTP/1.1 and HTTP/2. The service is the first path segment
// after /s/, or the header Trefoil-Service. These headers are understood:
//
//	Trefoil-Timeout   time until the answer is worthless, "80ms"
//	Idempotency-Key   names a request that may run at most once
//	Trefoil-Depth     set by the system; a target copies it to its own calls
//
// Each answer carries Trefoil-Outcome. "done" means that the status and body
// are the target's own; any other value comes with a JSON body that says what
// the caller may rely on, see docs/errors.md.
//
// Flow decides nothing by itself: it asks core/route for a target, core/retry
// whether to try again or to hedge, and core/poison whether the request may
// run.
//
// # Usage
//
//	flow := entry.NewFlow(entry.FlowOptions{Self: id, Send: send})
//	srv := entry.NewServer(entry.ServerOptions{Flow: flow, Classify: classify})
//	http.Serve(ln, srv.Handler())
package entry
