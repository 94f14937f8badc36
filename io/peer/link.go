package peer

import (
	"context"
	"net"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"

	"trefoilthread/core/stall"
)

// link is the outgoing connection to one peer. It is dialled by the first call
// and dialled again after it broke or stalled.
type link struct {
	node *Node
	addr string

	mu   sync.Mutex
	conn *liveConn
	dial chan struct{} // closed when the dial in progress has ended
	err  error         // of the last dial
}

// liveConn is a connection with its name in the stall tracker. The fields below the name
// belong to the watcher.
type liveConn struct {
	*quic.Conn
	id stall.ConnID

	open    int  // exchanges in progress
	retired bool // is to be closed when none is open
}

func (n *Node) link(addr string) *link {
	n.mu.Lock()
	defer n.mu.Unlock()
	l, ok := n.links[addr]
	if !ok {
		l = &link{node: n, addr: addr}
		n.links[addr] = l
	}
	return l
}

// Forget closes the connection to a peer that left the membership, as soon as the calls in
// progress on it have ended: a peer that stops answers them first.
func (n *Node) Forget(addr string) {
	n.mu.Lock()
	l, ok := n.links[addr]
	delete(n.links, addr)
	n.mu.Unlock()
	if ok {
		l.retire()
	}
}

// get returns a live connection, dialling once for all who wait.
func (l *link) get(ctx context.Context) (*liveConn, error) {
	for {
		l.mu.Lock()
		if l.conn != nil && l.conn.Context().Err() == nil {
			c := l.conn
			l.mu.Unlock()
			return c, nil
		}
		wait := l.dial
		if wait == nil {
			wait = make(chan struct{})
			l.dial = wait
			go l.connect(wait)
		}
		l.mu.Unlock()
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-wait:
		}
		l.mu.Lock()
		c, err := l.conn, l.err
		l.mu.Unlock()
		if err != nil {
			return nil, err
		}
		if c != nil {
			return c, nil
		}
	}
}

func (l *link) connect(done chan struct{}) {
	n := l.node
	ctx, cancel := context.WithTimeout(n.ctx, handshakeTimeout)
	defer cancel()
	var conn *quic.Conn
	addr, err := net.ResolveUDPAddr("udp", l.addr)
	if err == nil {
		conn, err = n.tr.Dial(ctx, addr, n.opts.Identity.ClientConfig(), quicConfig())
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conn, l.err, l.dial = nil, errors.Wrapf(err, "connect to daemon %s", l.addr), nil
	if err == nil {
		l.conn = n.watcher.add(l, conn)
	}
	close(done)
}

// leave lets other calls dial anew if conn is the current connection.
func (l *link) leave(conn *liveConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == conn {
		l.conn = nil
	}
}

// retire closes the connection when no exchange is open on it any more.
func (l *link) retire() {
	l.mu.Lock()
	conn := l.conn
	l.conn = nil
	l.mu.Unlock()
	if conn != nil {
		l.node.watcher.retire(conn)
	}
}

func (l *link) close(code quic.ApplicationErrorCode, why string) {
	l.mu.Lock()
	conn := l.conn
	l.conn = nil
	l.mu.Unlock()
	if conn != nil {
		_ = conn.CloseWithError(code, why)
	}
}
