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
// Text needn't be UTF-8: header values, paths and reason phrases travel as the bytes that
// they are. A daemon of version 0 can't decode such text and closes its connection, so it is
// sent only to a peer whose version is known to be 1 or later: from the Hello of a caller,
// from the Welcome that answers the Hello of a caller whose version isn't 0. The Welcome is
// the first frame of its connection; any other first frame tells of version 0. Until then
// a call with such text waits; to a daemon of version 0 it ends with ErrOldPeer, and an
// answer with such text as Broken.
//
// # Messages that can't be decoded
//
// A message that can't be decoded ends its own call only: a call is answered as Refused,
// a query ends with ErrRefused at its sender, and an answer ends its call with ErrUndecoded.
// Others are dropped. Options.Undecoded is told of each. Only a frame over the
// limit of its kind, a first frame that isn't a Hello, and a failed read or write end the
// connection.
// The payload of an unknown kind is skipped without memory for it.
//
// # Long bodies
//
// A call whose body is long for the slower of the two links (core/link) is offered to a daemon
// of version 2 or later: its head is sent without the body, and the body when the peer has
// granted it. At the server such a call has an Offer, whose Receive grants it. Frames over
// 16 KB that take as long are sent in parts, between which shorter frames go. The parts of all
// connections that share an Uplink take turns on it, and none is written much earlier than
// the slower link has room for it.
//
// # Tokens
//
// Client.RequestTokens asks another daemon for tokens of a customer's quota (core/quota).
// ServerOptions.Tokens answers; without it, and if the request can't be decoded, the answer
// grants nothing. A daemon of a version without this message skips it, so its sender bounds
// the wait.
//
// # Silence
//
// A connection that has gone silent is told by a ping: when calls are open and
// nothing has come for Options.Silence, a ping is sent, and without any byte
// for another Silence the connection is closed. Its open calls end with
// ErrBroken: each of them may have run. Who reads a long frame sends pongs meanwhile,
// and counts its parts as signs of life.
//
// # Bounds of a connection
//
// A connection may have 4,096 calls and queries open. Further calls are answered as
// Refused, further queries end with ErrRefused. Pings that come less than 5 ms after one that was
// answered get no pong.
//
// # Proof that nothing ran
//
// A call that ends with ErrUnreachable, ErrNotSent or ErrOldPeer has not run. One that ends with
// ErrBroken, ErrNoMemory or ErrUndecoded, or was canceled, may have run. Anything else is
// for the peer to say in its answer.
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
