package local

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"trefoilthread/io/httpw"
)

var (
	// ErrNotSent means that the request can't have reached the target.
	ErrNotSent = errors.New("request was not sent to the target")
	// ErrRefused means that in addition nobody listens at the target's address.
	ErrRefused = errors.Wrap(ErrNotSent, "target accepts no connection")
)

// Options configure a Client. Belongs and Clock are required.
type Options struct {
	// Belongs reports whether a response is to a request.
	Belongs func(req *httpw.Request, resp *httpw.Response) bool
	Clock   clockwork.Clock
	// Dropped is told of a response that is not the one to req; it may be nil.
	Dropped func(req *httpw.Request, resp *httpw.Response)
	Limits  httpw.Limits // of responses
	// DialTimeout bounds the time for a connection; default 250 ms.
	DialTimeout time.Duration
	// Idle is how long a connection is kept without a request if the target
	// names no time of its own; default 4 s.
	Idle time.Duration
}

const (
	defaultDialTimeout = 250 * time.Millisecond
	defaultIdle        = 4 * time.Second
	// idleMargin is taken off the idle time that a target names, so that a
	// request isn't sent while the target closes the connection.
	idleMargin = time.Second
	// maxExtra is the number of responses to other requests that may come
	// before the one that is waited for.
	maxExtra = 2
	readSize = 4 << 10
)

// Client keeps connections to one target.
type Client struct {
	opts Options

	mu   sync.Mutex
	addr string
	idle []*conn // the most recently used last
	// flushes counts the flushes. Connections from before the last one aren't kept.
	flushes int
	// isSweeping means that a sweep of the idle connections is due.
	isSweeping bool
}

// conn is a connection that carries one request at a time.
type conn struct {
	nc      net.Conn
	br      *bufio.Reader
	flushes int       // of the client when the connection was asked for
	until   time.Time // end of the idle time
}

// New returns a client of the target at addr, without connections.
func New(addr string, o Options) *Client {
	if o.DialTimeout <= 0 {
		o.DialTimeout = defaultDialTimeout
	}
	if o.Idle <= 0 {
		o.Idle = defaultIdle
	}
	if o.Dropped == nil {
		o.Dropped = func(*httpw.Request, *httpw.Response) {}
	}
	return &Client{opts: o, addr: addr}
}

// SetAddr sets the address of the target and flushes the connections to the
// one before.
func (c *Client) SetAddr(addr string) {
	c.mu.Lock()
	c.addr = addr
	c.mu.Unlock()
	c.Flush()
}

// Flush closes idle connections, for a target that has been replaced, and those in use after
// their response. A request that is sent once more gets no copy of its first response.
func (c *Client) Flush() {
	c.mu.Lock()
	c.flushes++
	c.mu.Unlock()
	c.CloseIdle()
}

// CloseIdle closes idle connections, which the target may have closed without notice.
func (c *Client) CloseIdle() {
	c.mu.Lock()
	old := c.idle
	c.idle = nil
	c.mu.Unlock()
	for _, cn := range old {
		_ = cn.nc.Close()
	}
}

// Do sends a request and returns the whole response to it. The connection is
// closed when ctx ends, which lets the target stop working.
func (c *Client) Do(ctx context.Context, req *httpw.Request) (*httpw.Response, error) {
	cn, err := c.take(ctx)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return nil, errors.Wrapf(ErrRefused, "%v", err)
	}
	if err != nil {
		return nil, errors.Wrapf(ErrNotSent, "%v", err)
	}
	stop := context.AfterFunc(ctx, func() { _ = cn.nc.Close() })
	resp, err := c.exchange(cn, req)
	isOpen := stop()
	if !isOpen && err != nil {
		err = fmt.Errorf("%w: %w", err, ctx.Err())
	}
	if err != nil || !isOpen || !c.keep(cn, resp) {
		_ = cn.nc.Close()
	}
	return resp, err
}

func (c *Client) exchange(cn *conn, req *httpw.Request) (*httpw.Response, error) {
	sent := make(chan error, 1)
	buf := httpw.AppendRequest(nil, req)
	if len(buf) <= smallRequest {
		if _, err := cn.nc.Write(buf); err != nil {
			return nil, err
		}
		sent <- nil
	} else {
		// A target may answer before it has read a long body, and reads on
		// only when its response is taken.
		go func() {
			_, err := cn.nc.Write(buf)
			sent <- err
		}()
	}
	resp, err := c.receive(cn, req)
	if err != nil {
		return nil, err
	}
	if resp.NoLength {
		// The kernel reports a reset once. If the writer gets it, the reader sees a usual end.
		// The writer ends with the connection, which ends with the context of the request.
		if err := <-sent; err != nil {
			resp.Memory.Release()
			return nil, httpw.CutBody(len(resp.Body), err)
		}
		return resp, nil
	}
	select {
	case err := <-sent:
		if err != nil {
			resp.Close = true
		}
	default:
		// The rest of the body is still to come: nothing else may follow it.
		resp.Close = true
	}
	return resp, nil
}

// smallRequest is the size in bytes up to which a request fits the socket's
// buffers, so that writing it can't wait for the target to read.
const smallRequest = 16 << 10

// receive reads the response to req and drops those to other requests.
func (c *Client) receive(cn *conn, req *httpw.Request) (*httpw.Response, error) {
	for range maxExtra + 1 {
		resp, err := httpw.ReadResponse(cn.br, req.Method, c.opts.Limits)
		if err != nil {
			return nil, err
		}
		if c.opts.Belongs(req, resp) {
			return resp, nil
		}
		c.opts.Dropped(req, resp)
		resp.Memory.Release()
		if resp.Close {
			return nil, errors.New("connection ended with a response to another request")
		}
	}
	return nil, errors.New("responses to other requests only")
}

// take returns a kept connection that is still open, or a new one.
func (c *Client) take(ctx context.Context) (*conn, error) {
	for {
		cn, addr, flushes := c.pop()
		if cn == nil {
			return c.dial(ctx, addr, flushes)
		}
		if c.opts.Clock.Now().Before(cn.until) && isQuiet(cn) {
			return cn, nil
		}
		_ = cn.nc.Close()
	}
}

// pop returns the idle connection that was used last, nil if there is none, and what a new
// one needs.
func (c *Client) pop() (cn *conn, addr string, flushes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := len(c.idle)
	if n == 0 {
		return nil, c.addr, c.flushes
	}
	cn = c.idle[n-1]
	c.idle[n-1] = nil
	c.idle = c.idle[:n-1]
	return cn, c.addr, c.flushes
}

func (c *Client) dial(ctx context.Context, addr string, flushes int) (*conn, error) {
	d := net.Dialer{Timeout: c.opts.DialTimeout}
	nc, err := d.DialContext(ctx, "tcp4", addr)
	if err != nil {
		return nil, err
	}
	return &conn{nc: nc, br: bufio.NewReaderSize(nc, readSize), flushes: flushes}, nil
}

// keep stores a connection for the next request if its response allows that.
func (c *Client) keep(cn *conn, resp *httpw.Response) bool {
	idle := idleTime(resp, c.opts.Idle)
	if resp.Close || idle <= 0 || cn.br.Buffered() > 0 {
		return false
	}
	cn.until = c.opts.Clock.Now().Add(idle)
	c.mu.Lock()
	defer c.mu.Unlock()
	if cn.flushes != c.flushes {
		return false
	}
	c.idle = append(c.idle, cn)
	if !c.isSweeping {
		c.isSweeping = true
		c.opts.Clock.AfterFunc(sweepInterval, c.sweep)
	}
	return true
}
