package peer

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"
)

// link is the outgoing connection to one peer. It is dialled by the first call
// and dialled again after it broke or stalled.
type link struct {
	node *Node
	addr string

	mu   sync.Mutex
	conn *quic.Conn
	dial chan struct{} // closed when the dial in progress has ended
	err  error         // of the last dial

	open     atomic.Int64 // exchanges in progress
	progress atomic.Int64 // time of the last byte received, Unix nanoseconds
	watching atomic.Bool
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

// Forget closes the connection to a peer that left the membership.
func (n *Node) Forget(addr string) {
	n.mu.Lock()
	l, ok := n.links[addr]
	delete(n.links, addr)
	n.mu.Unlock()
	if ok {
		l.close(codeClosing, "peer left")
	}
}

// get returns a live connection, dialling once for all who wait.
func (l *link) get(ctx context.Context) (*quic.Conn, error) {
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
	l.conn, l.err, l.dial = conn, errors.Wrapf(err, "connect to daemon %s", l.addr), nil
	l.progress.Store(n.opts.Clock.Now().UnixNano())
	close(done)
}

// drop closes conn if it is still the current one; other calls dial anew.
func (l *link) drop(conn *quic.Conn, code quic.ApplicationErrorCode, why string) {
	l.mu.Lock()
	if l.conn == conn {
		l.conn = nil
	}
	l.mu.Unlock()
	_ = conn.CloseWithError(code, why)
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

// begin counts an exchange on conn and starts the watch for progress.
func (l *link) begin(conn *quic.Conn) {
	if l.open.Add(1) == 1 {
		l.progress.Store(l.node.opts.Clock.Now().UnixNano())
	}
	if l.watching.CompareAndSwap(false, true) {
		go l.watch(conn)
	}
}

func (l *link) end() { l.open.Add(-1) }

func (l *link) received() { l.progress.Store(l.node.opts.Clock.Now().UnixNano()) }

// watch runs while conn owes answers. A connection that is silent for
// StallAfter gets a ping, which the peer answers whatever its target does; if
// the ping stays unanswered as long, the connection is closed and each call on
// it fails without waiting for its deadline.
func (l *link) watch(conn *quic.Conn) {
	defer l.watching.Store(false)
	clk, after := l.node.opts.Clock, l.node.opts.StallAfter
	idle := 0
	for {
		select {
		case <-conn.Context().Done():
			return
		case <-clk.After(after / 2):
		}
		if l.open.Load() == 0 {
			// Stay for a few rounds: starting a watch for each call would
			// cost more than the watch itself.
			if idle++; idle > 8 {
				return
			}
			continue
		}
		idle = 0
		if l.quiet() < after {
			continue
		}
		ctx, cancel := context.WithTimeout(l.node.ctx, after)
		err := l.node.exchange(ctx, conn, kindPing, nil, nil)
		cancel()
		if err == nil {
			l.received()
			continue
		}
		if conn.Context().Err() == nil && l.quiet() >= after {
			l.node.opts.Log.WithField("peer", l.addr).Warn("connection stalled, closing it")
			l.drop(conn, codeStalled, "no progress")
			return
		}
	}
}

func (l *link) quiet() time.Duration {
	return l.node.opts.Clock.Now().Sub(time.Unix(0, l.progress.Load()))
}
