package mesh

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"trefoilthread/io/httpw"
)

// ServerOptions configure a Server. All fields but Memory, NoMemory, Undecoded, TooMany and
// Tokens are required.
type ServerOptions struct {
	// Serve runs a call. Its context ends when the caller cancels it or its
	// connection breaks.
	Serve func(ctx context.Context, from Hello, call *CallHead) *Answer
	// Notice takes a notice. It must not block.
	Notice func(n *Notice)
	// Query answers a query, at once or when there is news.
	Query func(ctx context.Context, from Hello, q *Query) *News
	// Tokens answers a request for tokens; nil if there are none to grant. It must not block.
	Tokens func(from Hello, r *TokenRequest) *Tokens
	// Opened is told who opened a connection. It must not block.
	Opened func(from Hello)
	// Failed is told of connections that ended with an error.
	Failed func(addr string, err error)
	Clock  clockwork.Clock
	// Memory bounds the long bodies of calls, until they are answered; nil for no bound.
	Memory *httpw.Budget
	// NoMemory returns the answer to a call of n bytes for which there was no memory. It is
	// required with Memory.
	NoMemory func(from Hello, n int) *Answer
	// Undecoded is told of messages that can't be decoded and returns the answer to such a
	// message if it is a call. It must not block.
	Undecoded func(from Hello, err error) *Answer
	// TooMany returns the answer to a call beyond those that one connection may have open. It
	// must not block.
	TooMany func(from Hello) *Answer
	// Uplink is the network link of this VM, shared with the clients; nil if its speed is
	// unknown.
	Uplink *Uplink
}

const (
	readBuffer  = 8 << 10
	acceptPause = 20 * time.Millisecond
	// progressInterval is the shortest time between two pongs of a long frame.
	progressInterval = 50 * time.Millisecond
	// pongInterval is the shortest time between two pongs that answer pings. It is far below
	// the silence after which a client pings, so that only a flood of pings is left without answers.
	pongInterval = 5 * time.Millisecond
	// maxOpen bounds the calls and queries that run for one connection. It is far above 980, the
	// highest connection limit of a target in docs/customers.md.
	maxOpen = 4096
)

// ReasonTooMany is the reason of a refusal of a call beyond the bound of its connection.
const ReasonTooMany = "too many open calls of the sending daemon"

// Server takes calls of other daemons.
type Server struct {
	opts ServerOptions

	mu    sync.Mutex
	conns map[net.Conn]*inbound
	ln    net.Listener
	ended bool

	openCalls  int       // calls without an answer
	lastCallAt time.Time // arrival of the latest call
}

// NewServer returns a server that isn't listening yet.
func NewServer(o ServerOptions) *Server {
	if o.Undecoded == nil {
		o.Undecoded = func(_ Hello, err error) *Answer { return &Answer{Result: Refused, Reason: err.Error()} }
	}
	if o.TooMany == nil {
		o.TooMany = func(Hello) *Answer { return &Answer{Result: Refused, Reason: ReasonTooMany} }
	}
	return &Server{opts: o, conns: make(map[net.Conn]*inbound)}
}

// Serve accepts connections until the server is closed.
func (s *Server) Serve(ln net.Listener) error {
	s.mu.Lock()
	s.ln = ln
	s.mu.Unlock()
	for {
		nc, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			s.opts.Failed("", err)
			s.opts.Clock.Sleep(acceptPause)
			continue
		}
		setKeepAlive(nc)
		p := newInbound(s, nc)
		if s.add(nc, p) {
			go s.serveConn(nc, p)
		}
	}
}

func (s *Server) add(nc net.Conn, p *inbound) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		_ = nc.Close() // refused: the server is closed
		return false
	}
	s.conns[nc] = p
	return true
}

// Publish sends a notice to the daemons that have called within recent: the
// others would not use it.
func (s *Server) Publish(n *Notice, recent time.Duration) {
	now := s.opts.Clock.Now()
	s.mu.Lock()
	to := make([]*inbound, 0, len(s.conns))
	for _, p := range s.conns {
		if p.calledSince(now.Add(-recent)) {
			to = append(to, p)
		}
	}
	s.mu.Unlock()
	for _, p := range to {
		// An error means that the connection has ended.
		_ = p.out.send(kindNotice, 0, n)
	}
}

// Close ends all connections and with them their calls.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	if s.ln != nil {
		_ = s.ln.Close()
	}
	for nc := range s.conns {
		_ = nc.Close()
	}
}

// serveConn reads frames until the connection ends.
func (s *Server) serveConn(nc net.Conn, p *inbound) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	err := p.read(ctx, bufio.NewReaderSize(nc, readBuffer))
	_ = nc.Close()
	s.mu.Lock()
	delete(s.conns, nc)
	s.mu.Unlock()
	s.opts.Failed(nc.RemoteAddr().String(), err)
}

// inbound is the state of one accepted connection.
type inbound struct {
	s    *Server
	out  *sender
	from Hello

	progressed time.Time // latest pong of noteProgress
	ponged     time.Time // latest pong of answerPing
	parts      assembler

	mu      sync.Mutex
	calls   map[uint64]context.CancelFunc
	running int               // calls and queries that have not ended, canceled ones included
	offers  map[uint64]*Offer // calls without their bodies
	called  time.Time         // latest call
}

func newInbound(s *Server, nc net.Conn) *inbound {
	p := &inbound{
		s: s, out: &sender{nc: nc, clock: s.opts.Clock, uplink: s.opts.Uplink},
		calls: make(map[uint64]context.CancelFunc), offers: make(map[uint64]*Offer),
	}
	p.parts = assembler{budget: s.opts.Memory, wantsBody: p.wantsBody}
	return p
}

// calledSince reports whether a call has come since t.
func (p *inbound) calledSince(t time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.called.After(t)
}

func (p *inbound) read(ctx context.Context, br *bufio.Reader) error {
	defer p.parts.drop()
	// The payload of another first frame isn't read: a stranger takes no memory.
	switch head, err := br.Peek(frameHead); {
	case err != nil:
		return err
	case kind(head[4]) != kindHello:
		return errors.Newf("mesh: first frame of kind %d, not a hello", head[4])
	}
	for {
		f, err := readFrame(br, p.s.opts.Memory, p.noteProgress)
		if err != nil {
			return err
		}
		if err := p.handle(ctx, f); err != nil {
			return err
		}
	}
}

// handle acts on one frame. Frames of unknown kinds are from later versions
// and are skipped.
func (p *inbound) handle(ctx context.Context, f frame) error {
	switch f.kind {
	case kindHello:
		return p.open(f)
	case kindPing:
		return p.answerPing(f.call)
	case kindNotice:
		var n Notice
		if err := f.decode(&n); err != nil {
			p.s.opts.Undecoded(p.from, err)
			return nil
		}
		p.s.opts.Notice(&n)
	case kindCancel:
		p.parts.cancel(f.call)
		p.cancel(f.call)
	case kindFirstPart, kindPart:
		return p.handlePart(ctx, f)
	case kindBody:
		p.takeBody(f)
	case kindCall:
		from := p.from
		if f.left > 0 {
			return p.answer(f.call, p.s.opts.NoMemory(from, f.left))
		}
		head := &CallHead{Memory: f.memory}
		if err := f.decode(head); err != nil {
			f.memory.Release()
			return p.answer(f.call, p.s.opts.Undecoded(from, err))
		}
		if p.isFull() {
			head.Memory.Release()
			return p.answer(f.call, p.s.opts.TooMany(from))
		}
		if !from.Bulk { // notices take the other connection
			p.noteCall()
		}
		if head.BodyLen > 0 && len(head.Body) == 0 {
			p.addOffer(f.call, head)
		}
		p.start(ctx, f.call, kindAnswer, func(ctx context.Context) any {
			defer func() { head.Memory.Release() }() // an offered call takes it later
			defer p.endOffer(head.Offer)
			return p.s.opts.Serve(ctx, from, head)
		})
	case kindTokenRequest:
		return p.grantTokens(f)
	case kindQuery:
		q := new(Query)
		if err := f.decode(q); err != nil {
			p.s.opts.Undecoded(p.from, err)
			return p.out.send(kindNews, f.call, refusedNews("query can't be decoded"))
		}
		if p.isFull() {
			return p.out.send(kindNews, f.call, refusedNews(ReasonTooMany))
		}
		from := p.from
		p.start(ctx, f.call, kindNews, func(ctx context.Context) any { return p.s.opts.Query(ctx, from, q) })
	}
	return nil
}

// open takes a hello. A daemon of version 0 knows no welcome.
func (p *inbound) open(f frame) error {
	var from Hello
	if err := f.decode(&from); err != nil {
		p.s.opts.Undecoded(from, err)
		return nil
	}
	p.from = from
	p.out.version.Store(int32(from.Version))
	p.out.setPeerLink(from.Link)
	if from.Version > 0 {
		if err := p.out.send(kindWelcome, 0, &Welcome{Version: ownVersion}); err != nil {
			return err
		}
	}
	p.s.opts.Opened(from)
	return nil
}

// noteProgress sends a pong while a long frame arrives: its sender has open calls and
// would take the connection for a silent one. An error means that the connection has
// ended.
func (p *inbound) noteProgress() {
	now := p.s.opts.Clock.Now()
	if now.Sub(p.progressed) < progressInterval {
		return
	}
	p.progressed = now
	_ = p.out.send(kindPong, 0, nil)
}

// answerPing sends a pong, unless the latest one was sent a moment ago.
func (p *inbound) answerPing(call uint64) error {
	now := p.s.opts.Clock.Now()
	if now.Sub(p.ponged) < pongInterval {
		return nil
	}
	p.ponged = now
	return p.out.send(kindPong, call, nil)
}

// isFull reports whether no further call or query of the connection may run.
func (p *inbound) isFull() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.running >= maxOpen
}

// end removes a call or query that has run.
func (p *inbound) end(id uint64) {
	p.cancel(id)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running--
}

func (p *inbound) noteCall() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.called = p.s.opts.Clock.Now()
}

// start runs serve and sends what it returns as the answer to a call.
func (p *inbound) start(ctx context.Context, id uint64, k kind, serve func(context.Context) any) {
	ctx, cancel := context.WithCancel(ctx)
	p.mu.Lock()
	p.calls[id] = cancel
	p.running++
	p.mu.Unlock()
	if k == kindAnswer {
		p.s.noteCall()
	}
	go func() {
		defer p.end(id)
		if k == kindAnswer {
			defer p.s.endCall()
		}
		msg := serve(ctx)
		ans, ok := msg.(*Answer)
		if !ok {
			// A backlog passes: the query is repeated, and isn't refused.
			if err := p.out.send(k, id, msg); err != nil && !errors.Is(err, errBacklog) {
				// An error means that the connection has ended.
				_ = p.out.send(k, id, refusedNews("news can't be sent: "+err.Error()))
			}
			return
		}
		// An error means that the connection has ended, which the caller sees as well.
		_ = p.answer(id, ans)
	}()
}

// answer sends the answer to a call, or a short one in its place if it can't be sent.
func (p *inbound) answer(id uint64, ans *Answer) error {
	err := p.out.sendHolding(kindAnswer, id, ans, ans.Memory)
	if err != nil {
		err = p.out.send(kindAnswer, id, ans.unsent(err))
	}
	return err
}

func (p *inbound) cancel(id uint64) {
	p.mu.Lock()
	cancel := p.calls[id]
	delete(p.calls, id)
	p.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}
