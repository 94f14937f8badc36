// Package peer carries calls and control messages between daemons over QUIC.
//
// A Node owns one UDP socket on which it both listens and dials, so a daemon
// needs a single port. Each call and each control message has a stream of its
// own: answers cannot be mixed up, and a long body holds up no other call.
// Cancelling a call's context resets its stream, which cancels the context of
// the handler at the other end.
//
// Call tells apart what the caller of a failed call may rely on: an error that
// matches ErrNotSent proves that the other daemon never saw the call, a
// *wire.Failure is that daemon's own word, and anything else leaves the
// outcome unknown.
//
// # Usage
//
//	node, err := peer.Listen(peer.Options{
//		Address: "127.0.0.1:0", Identity: id, Call: handleCall, Control: handleControl,
//	})
//	if err != nil {
//		return err
//	}
//	defer node.Close()
//	ans, err := node.Call(ctx, "127.0.0.1:7100", head, body)
package peer
