package peer

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/quic-go/quic-go"

	"trefoilthread/io/certs"
	"trefoilthread/io/wire"
)

const (
	// maxStreams bounds the calls that one peer may have open here. Beyond it
	// the peer's OpenStream fails, which proves that the call was not sent.
	maxStreams = 4096
	// handshakeTimeout bounds the time to connect: a new connection takes about
	// 1 ms, the longest way between data centres far under 100 ms.
	handshakeTimeout = time.Second
	// idleTimeout closes unused connections. It is above the longest heartbeat
	// interval, 46 s at 520 members, since a new connection costs 20 times a
	// heartbeat. Connections that carry calls are watched for progress at a much
	// finer grain; no keep-alive packets are sent, because they would grow with
	// the number of peers.
	idleTimeout = 2 * time.Minute
)

// Codes of reset streams and closed connections.
const (
	codeCanceled  = 1
	codeMalformed = 2
	codeStalled   = 3
	codeClosing   = 4
)

// ErrNotSent marks errors of calls that the other daemon never saw.
var ErrNotSent = errors.New("call not sent")

// ErrStalled marks errors of calls on a connection that made no progress.
var ErrStalled = errors.New("connection stalled")

// Options configure a Node.
type Options struct {
	// Address is the UDP address to listen on.
	Address string
	// Identity authenticates this daemon to others.
	Identity *certs.Identity
	// Call handles an incoming call. The returned answer's body is sent and
	// closed; an error is sent as a failure.
	Call func(ctx context.Context, head *wire.CallHead, body *wire.BodyReader) (*wire.Answer, error)
	// Control handles an incoming control message and returns the reply.
	Control func(ctx context.Context, head *wire.ControlHead) *wire.ControlReply
	// StallAfter is how long a connection that owes answers may be silent
	// before it is probed, and the probe unanswered before it is closed. Zero
	// is DefaultStallAfter.
	StallAfter time.Duration
	Clock      clockwork.Clock
	Log        log.Interface
}

// DefaultStallAfter is the default of Options.StallAfter.
const DefaultStallAfter = 250 * time.Millisecond

// Node is one end of the protocol between daemons. Its methods may be called
// from any goroutine.
type Node struct {
	opts     Options
	udp      *net.UDPConn
	tr       *quic.Transport
	listener *quic.Listener
	ctx      context.Context
	cancel   context.CancelFunc
	wg       sync.WaitGroup
	watcher  *watcher

	serving atomic.Int64 // calls of other daemons in progress

	mu    sync.Mutex
	links map[string]*link
}

// Listen opens the socket and serves incoming connections until Close.
func Listen(o Options) (*Node, error) {
	if o.StallAfter == 0 {
		o.StallAfter = DefaultStallAfter
	}
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	addr, err := net.ResolveUDPAddr("udp", o.Address)
	if err != nil {
		return nil, errors.Wrapf(err, "peer address %q", o.Address)
	}
	udp, err := net.ListenUDP("udp", addr)
	if err != nil {
		return nil, errors.Wrap(err, "peer socket")
	}
	tr := &quic.Transport{Conn: udp}
	ln, err := tr.Listen(o.Identity.Config(), quicConfig())
	if err != nil {
		_ = udp.Close()
		return nil, errors.Wrap(err, "peer listener")
	}
	ctx, cancel := context.WithCancel(context.Background())
	n := &Node{opts: o, udp: udp, tr: tr, listener: ln, ctx: ctx, cancel: cancel, links: map[string]*link{}}
	n.watcher = newWatcher(n)
	n.wg.Add(2)
	go n.accept()
	go func() {
		defer n.wg.Done()
		n.watcher.run(ctx)
	}()
	return n, nil
}

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout: handshakeTimeout,
		MaxIdleTimeout:       idleTimeout,
		MaxIncomingStreams:   maxStreams,
	}
}

// Addr returns the address others reach this node at.
func (n *Node) Addr() string { return n.udp.LocalAddr().String() }

// Close ends all connections. Calls in progress fail.
func (n *Node) Close() error {
	n.cancel()
	n.mu.Lock()
	for _, l := range n.links {
		l.close(codeClosing, "daemon closing")
	}
	n.mu.Unlock()
	err := n.listener.Close()
	// Each connection tells its peer of the close before the socket goes; a
	// peer that is not told takes the silence for a stalled connection.
	n.wg.Wait()
	if cerr := n.tr.Close(); err == nil {
		err = cerr
	}
	_ = n.udp.Close()
	return err
}

// Serving returns the number of calls of other daemons that are in progress.
func (n *Node) Serving() int { return int(n.serving.Load()) }

func (n *Node) accept() {
	defer n.wg.Done()
	for {
		conn, err := n.listener.Accept(n.ctx)
		if err != nil {
			return
		}
		n.wg.Add(1)
		go n.serve(conn)
	}
}
