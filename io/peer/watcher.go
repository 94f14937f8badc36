package peer

import (
	"context"
	"sync"
	"time"

	"github.com/quic-go/quic-go"

	"trefoilthread/core/stall"
)

// watchShare is the part of StallAfter between two checks; core/stall takes
// more than a half for a pause of this process.
const watchShare = 4

// watcher follows the progress of all outgoing connections of a node, pings
// the silent ones and replaces those that stay silent. Calls on a closed
// connection fail at once instead of waiting for their deadlines.
type watcher struct {
	node *Node

	mu      sync.Mutex
	tracker *stall.Tracker
	conns   map[stall.ConnID]watched
	last    stall.ConnID
	open    int // exchanges in progress
}

// watched is a connection and the link it belongs to.
type watched struct {
	link *link
	conn *liveConn
}

func newWatcher(n *Node) *watcher {
	return &watcher{
		node: n, conns: map[stall.ConnID]watched{},
		tracker: stall.New(n.opts.Clock.Now(), stall.Options{Kind: stall.Peer, StallAfter: n.opts.StallAfter}),
	}
}

func (w *watcher) now() time.Time { return w.node.opts.Clock.Now() }

// add follows a new connection until it ends.
func (w *watcher) add(l *link, conn *quic.Conn) *liveConn {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.last++
	c := &liveConn{Conn: conn, id: w.last}
	w.conns[c.id] = watched{link: l, conn: c}
	context.AfterFunc(conn.Context(), func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		delete(w.conns, c.id)
		w.tracker.Closed(c.id)
	})
	return c
}

// begin notes that an exchange waits for an answer on c.
func (w *watcher) begin(c *liveConn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.open++
	c.open++
	w.tracker.Sent(w.now(), c.id, 1)
}

// end notes that an exchange on c has ended.
func (w *watcher) end(c *liveConn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.open--
	c.open--
	w.tracker.Progress(w.now(), c.id, 1)
	w.closeRetired(c)
}

// retire closes c when no exchange is open on it any more.
func (w *watcher) retire(c *liveConn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	c.retired = true
	w.closeRetired(c)
}

// closeRetired closes c if it is retired and no exchange is open, with the lock held. The
// close runs by itself, as its end takes the lock.
func (w *watcher) closeRetired(c *liveConn) {
	if c.retired && c.open == 0 {
		go func() { _ = c.CloseWithError(codeClosing, "peer left") }()
	}
}

// received notes that something arrived on c.
func (w *watcher) received(c *liveConn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.tracker.Progress(w.now(), c.id, 0)
}

// run checks the connections until ctx ends.
func (w *watcher) run(ctx context.Context) {
	t := w.node.opts.Clock.NewTicker(w.node.opts.StallAfter / watchShare)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.Chan():
			w.check()
		}
	}
}

// check pings the connections that are silent and replaces the stalled ones.
func (w *watcher) check() {
	w.mu.Lock()
	if w.open == 0 {
		w.mu.Unlock()
		return
	}
	now := w.now()
	var ping, abandon []watched
	for _, id := range w.tracker.Check(now) {
		abandon = append(abandon, w.conns[id])
	}
	for _, id := range w.tracker.PingsDue(now) {
		w.tracker.PingSent(now, id)
		ping = append(ping, w.conns[id])
	}
	w.mu.Unlock()
	for _, c := range abandon {
		go w.replace(c)
	}
	for _, c := range ping {
		go w.ping(c.conn)
	}
}

// replace sends new calls to another connection and closes c, unless it shows a
// sign of life: a peer that gets no processor time for a moment would else lose
// the calls it runs. It waits until the new connection has worked for the time
// that a ping is given, at most StallAfter in all.
func (w *watcher) replace(c watched) {
	c.link.leave(c.conn)
	ctx, cancel := context.WithTimeout(w.node.ctx, w.node.opts.StallAfter)
	defer cancel()
	_, err := c.link.get(ctx)
	if err == nil {
		// The peer runs again, but its answer to the ping may arrive after the
		// end of the handshake.
		w.wait(ctx, w.node.opts.StallAfter/2)
	} else {
		<-ctx.Done() // the handshake has a time-out of its own
	}
	w.mu.Lock()
	recovered := w.tracker.Recovered(c.conn.id)
	w.mu.Unlock()
	l := w.node.opts.Log.WithField("peer", c.link.addr).WithField("newConnectionWorks", err == nil)
	if recovered {
		l.Info("connection was silent and has recovered")
		return
	}
	l.Warn("connection stalled, closing it")
	_ = c.conn.CloseWithError(codeStalled, "no progress")
}

// wait returns after d, or when ctx ends.
func (w *watcher) wait(ctx context.Context, d time.Duration) {
	select {
	case <-w.node.opts.Clock.After(d):
	case <-ctx.Done():
	}
}

// ping asks the peer for a sign of life. It ends with the connection at the
// latest.
func (w *watcher) ping(c *liveConn) {
	if err := w.node.exchange(c.Context(), c.Conn, kindPing, nil, nil); err != nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.tracker.PingAnswered(w.now(), c.id)
}
