// Package mesh carries calls between daemons over kept TCP connections.
//
// A daemon keeps one connection to each daemon it calls, and a second one for calls
// with long bodies, behind which others would wait. Calls share them: each frame names
// its call, so a slow call holds no other up, and a canceled call costs one frame instead
// of a connection. Messages are CBOR and whole: a call
// is delivered only when all its bytes are there, and so is its answer.
//
// # Versions
//
// Daemons are updated one after the other, so each may speak with older and newer
// ones. The fields of a message have numbers; a field that a daemon doesn't know is
// skipped, one that is missing is zero, and frames of unknown kinds are skipped. A
// number is never used for another field, and the zero of a new field means what
// was meant before there was one.
//
// # Silence
//
// A connection that has gone silent is told by a ping: when calls are open and
// nothing has come for Options.Silence, a ping is sent, and without any byte
// for another Silence the connection is closed. Its open calls end with
// ErrBroken: each of them may have run. Who reads a long frame sends pongs meanwhile,
// and counts its parts as signs of life.
//
// # Proof that nothing ran
//
// A call that ends with an error other than ErrBroken has not left this
// daemon. Anything else is for the peer to say in its answer.
//
// # Usage
//
//	srv := mesh.NewServer(mesh.ServerOptions{
//		Serve: serve, Query: query, Notice: notice, Opened: opened, Failed: failed, Clock: clock,
//	})
//	go srv.Serve(ln)
//	cl := mesh.NewClient(mesh.ClientOptions{Clock: clock, Hello: hello})
//	ans, err := cl.Call(ctx, "10.0.0.3:7380", head)
//	news, err := cl.Query(ctx, "10.0.0.3:7380", &mesh.Query{Revision: rev})
package mesh
