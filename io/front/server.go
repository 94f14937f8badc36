package front

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"trefoilthread/io/httpw"
)

// Bounds are the limits towards callers. They may change while connections
// are open.
type Bounds struct {
	Message httpw.Limits
	Header  time.Duration // time to send a header once it has begun
	Idle    time.Duration // time a connection may stay without a request
}

// Hold is the wait of a response for an earlier one of its connection.
type Hold struct {
	Req    *httpw.Request
	Status int            // of the response
	By     *httpw.Request // request that was answered before it, at last
	Came   time.Time      // when Req was whole
	Held   time.Duration  // from when the response was there until it was sent
}

// Options configure a Server. All functions are required.
type Options struct {
	// Handle returns the response to a request. Its context ends when the
	// caller has closed the connection, or by Cancel.
	Handle func(ctx context.Context, req *httpw.Request) *httpw.Response
	// Refuse returns the response to bytes that are no valid request, with the status of err.
	Refuse func(err *httpw.MessageError) *httpw.Response
	// Bounds returns the bounds in force.
	Bounds func() Bounds
	// Held is told of a response that waited for an earlier one of its
	// connection. It must not block.
	Held func(h Hold)
	// Failed is told of accept errors.
	Failed func(err error)
	Clock  clockwork.Clock
}

const (
	// maxPipeline is the number of requests of one connection that may be
	// unanswered; further ones stay unread.
	maxPipeline = 32
	// maxUnread is the number of bytes after the last request of a connection that are read
	// while it runs, to see the caller's close.
	maxUnread = 256 << 10
	// lingerTime is how long a connection is read after its last response, so
	// that unread bytes don't reset it before the caller has the response.
	lingerTime = 500 * time.Millisecond
	// writeTime bounds the time a caller may take to accept a step of response bytes.
	writeTime = 10 * time.Second
	// acceptPause follows a failed accept, which is most often a lack of file
	// descriptors.
	acceptPause = 20 * time.Millisecond
)

// Server accepts connections of callers.
type Server struct {
	opts     Options
	ctx      context.Context // of all requests
	cancel   context.CancelFunc
	draining atomic.Bool
	open     sync.WaitGroup

	mu     sync.Mutex
	closed bool
	ln     net.Listener
	conns  map[*conn]struct{}
}

// New returns a server that isn't listening yet.
func New(o Options) *Server {
	ctx, cancel := context.WithCancel(context.Background())
	return &Server{opts: o, ctx: ctx, cancel: cancel, conns: make(map[*conn]struct{})}
}

// Serve accepts connections until the server is closed.
func (s *Server) Serve(ln net.Listener) error {
	s.mu.Lock()
	s.ln = ln
	closed := s.closed
	s.mu.Unlock()
	if closed {
		return ln.Close()
	}
	for {
		nc, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			s.opts.Failed(err)
			s.opts.Clock.Sleep(acceptPause)
			continue
		}
		s.start(nc)
	}
}

// start serves a connection unless the server is closed.
func (s *Server) start(nc net.Conn) {
	c := newConn(s, nc)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		_ = nc.Close() // nothing was read, the caller may try elsewhere
		return
	}
	s.conns[c] = struct{}{}
	s.open.Add(1)
	go c.serve()
}

func (s *Server) remove(c *conn) {
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
	s.open.Done()
}

// Drain makes each connection end with the latest request that it has accepted by its next
// response. Until then it accepts requests.
func (s *Server) Drain() { s.draining.Store(true) }

// Cancel ends the context of all requests, whose responses are still written.
func (s *Server) Cancel() { s.cancel() }

// Close stops accepting connections and closes those without a request. Others end as after
// Drain.
func (s *Server) Close() {
	s.Drain()
	s.mu.Lock()
	s.closed = true
	ln := s.ln
	idle := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		idle = append(idle, c)
	}
	s.mu.Unlock()
	if ln != nil {
		_ = ln.Close() // the listener is of no use after an error either
	}
	for _, c := range idle {
		c.closeIfIdle()
	}
}

// UnansweredError reports that connections ended before all their requests were answered.
type UnansweredError struct {
	// Conns is the number of these connections.
	Conns int
}

func (e UnansweredError) Error() string {
	return fmt.Sprintf("%d connections with unanswered requests", e.Conns)
}

// Wait returns when all connections have ended, or when ctx has: then with an
// UnansweredError if any has an unanswered request. Others only wait for their callers to
// close them.
func (s *Server) Wait(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		s.open.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
	}
	if n := s.unanswered(); n > 0 {
		return UnansweredError{Conns: n}
	}
	return nil
}

// unanswered returns the number of connections with a request that has no response yet.
func (s *Server) unanswered() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for c := range s.conns {
		if c.isBusy() {
			n++
		}
	}
	return n
}
