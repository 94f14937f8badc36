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
// Drain makes each further response end its connection. Close stops accepting
// and closes idle connections; Wait returns when the last request is answered.
// Cancel ends requests that would last too long; they are answered as well.
//
// # Usage
//
//	s := front.New(front.Options{Handle: handle, Limits: limits, Clock: clock})
//	go s.Serve(ln)
//	defer s.Close()
package front
