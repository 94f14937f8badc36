// Package front serves HTTP/1.1 to callers of one daemon.
//
// A connection is read while its earlier requests run: pipelined requests run
// side by side and are answered in the order they came, so a response can be held
// by an earlier one; Held is told of that. Reading on also shows at once that the
// caller has closed the connection, which cancels the context of its requests. A
// request is handed over only when it is whole.
//
// The package decides nothing about a request: Handle does.
//
// # Shutdown
//
// A connection ends with the response to the latest request that it has accepted, which
// is the only one that says so: callers take what they sent behind a closing response as not
// read and send it again. Drain makes each connection accept nothing more from its next
// response on. Close stops accepting connections and closes idle ones; Wait returns when the
// last request is answered. Cancel ends requests that would last too long; they are answered
// as well.
//
// # Usage
//
//	s := front.New(front.Options{Handle: handle, Limits: limits, Clock: clock})
//	go s.Serve(ln)
//	defer s.Close()
package front
