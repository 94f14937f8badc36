package mesh

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	corelink "trefoilthread/core/link"
	"trefoilthread/io/httpw"
)

var (
	// ErrBroken means that the connection ended while the call was open: it
	// may have run.
	ErrBroken = errors.New("mesh: connection broke during the call")
	// ErrUnreachable means that no connection could be made: the call was not
	// sent.
	ErrUnreachable = errors.New("mesh: daemon unreachable")
	// ErrNoMemory means that there was no memory for the answer: the call may have
	// run.
	ErrNoMemory = errors.New("mesh: no memory")
	// ErrUndecoded means that the answer can't be decoded, or has a response that isn't valid:
	// the call may have run.
	ErrUndecoded = errors.New("mesh: answer can't be decoded")
	// ErrRefused means that the peer doesn't answer the query, and won't if it is sent again.
	ErrRefused = errors.New("mesh: query refused")
	// ErrNotSent means that the caller left, or the deadline passed, before the body of an
	// offered call was sent: the call has not run.
	ErrNotSent = errors.New("mesh: body not sent")
	// ErrOldPeer means that the message has text that isn't UTF-8 and that the peer's
	// version can't decode it: it was not sent.
	ErrOldPeer = errors.New("mesh: the other daemon's version can't decode text that isn't UTF-8")
)

// ClientOptions configure a Client. Clock and Hello are required.
type ClientOptions struct {
	Hello Hello
	Clock clockwork.Clock
	// DialTimeout bounds the time for a connection; default 300 ms.
	DialTimeout time.Duration
	// Silence is the time without a byte after which an open call is checked
	// with a ping, and then the time for its answer; default 250 ms.
	Silence time.Duration
	// Notice takes a notice of a daemon that was called. It must not block.
	Notice func(n *Notice)
	// Ended is told of connections that ended with an error.
	Ended func(addr string, err error)
	// Undecoded is told of messages that can't be decoded, and of answers with invalid
	// responses. It must not block.
	Undecoded func(addr string, err error)
	// Memory bounds the long bodies of answers, until they are released; nil for no
	// bound.
	Memory *httpw.Budget
	// Uplink is the network link of this VM, shared with the server; nil if its speed is
	// unknown.
	Uplink *Uplink
}

const (
	defaultDialTimeout = 300 * time.Millisecond
	defaultSilence     = 250 * time.Millisecond
)

// Client calls other daemons. It keeps one connection to each, and a second one for
// calls with long bodies, behind which short calls would wait.
type Client struct {
	opts ClientOptions

	mu    sync.Mutex
	links map[linkKey]*link
}

// linkKey names a connection.
type linkKey struct {
	addr string
	bulk bool // for calls with bodies of more than maxShortBody, and for offered ones
}

// maxShortBody is the length in bytes of the longest body on the connection of short
// calls. It takes 22 ms on a link of 12 Mbit/s.
const maxShortBody = 32 << 10

// NewClient returns a client without connections.
func NewClient(o ClientOptions) *Client {
	if o.DialTimeout <= 0 {
		o.DialTimeout = defaultDialTimeout
	}
	if o.Silence <= 0 {
		o.Silence = defaultSilence
	}
	if o.Ended == nil {
		o.Ended = func(string, error) {}
	}
	if o.Undecoded == nil {
		o.Undecoded = func(string, error) {}
	}
	if o.Notice == nil {
		o.Notice = func(*Notice) {}
	}
	return &Client{opts: o, links: make(map[linkKey]*link)}
}

// Call sends a call and waits for its answer. When ctx ends first, the call is
// canceled at the peer and the error is that of ctx, or ErrNotSent if it can't have run. A call
// whose body is long for the slower of the two links is offered first.
func (c *Client) Call(ctx context.Context, addr string, head *CallHead) (*Answer, error) {
	offered := corelink.IsLong(len(head.Body), c.opts.Uplink.slower(head.PeerLink))
	l, err := c.link(ctx, linkKey{addr: addr, bulk: offered || len(head.Body) > maxShortBody})
	if err != nil {
		return nil, err
	}
	l.out.setPeerLink(head.PeerLink)
	ans := new(Answer)
	if offered {
		ans.Memory, err = l.offer(ctx, head, ans)
	} else {
		ans.Memory, err = l.call(ctx, kindCall, head, ans)
	}
	if err != nil {
		return nil, err
	}
	if err := ans.check(); err != nil {
		ans.Memory.Release()
		c.opts.Undecoded(addr, err)
		return nil, errors.Wrap(ErrUndecoded, err.Error())
	}
	return ans, nil
}

// Query asks for news and waits for them.
func (c *Client) Query(ctx context.Context, addr string, q *Query) (*News, error) {
	l, err := c.link(ctx, linkKey{addr: addr})
	if err != nil {
		return nil, err
	}
	news := new(News)
	if _, err := l.call(ctx, kindQuery, q, news); err != nil {
		return nil, err
	}
	if news.Refused != "" {
		return nil, errors.Wrapf(ErrRefused, "%s: %s", addr, news.Refused)
	}
	return news, nil
}

// Notify sends a notice, over a new connection if there is none.
func (c *Client) Notify(ctx context.Context, addr string, n *Notice) error {
	l, err := c.link(ctx, linkKey{addr: addr})
	if err != nil {
		return err
	}
	return l.out.send(kindNotice, 0, n)
}

// Close ends all connections.
func (c *Client) Close() {
	c.mu.Lock()
	all := make([]*link, 0, len(c.links))
	for _, l := range c.links {
		all = append(all, l)
	}
	c.mu.Unlock()
	for _, l := range all {
		l.drop()
	}
}

// link returns a connection, making it if there is none. Callers that come
// meanwhile share the attempt.
func (c *Client) link(ctx context.Context, key linkKey) (*link, error) {
	c.mu.Lock()
	l := c.links[key]
	if l == nil {
		l = newLink(c, key)
		c.links[key] = l
		go l.run()
	}
	c.mu.Unlock()
	select {
	case <-l.ready:
	case <-ctx.Done():
		return nil, errors.Wrapf(ErrUnreachable, "%s: %v", key.addr, ctx.Err())
	}
	if l.dialErr != nil {
		return nil, errors.Wrapf(ErrUnreachable, "%s: %v", key.addr, l.dialErr)
	}
	return l, nil
}

func (c *Client) remove(l *link) {
	c.mu.Lock()
	if c.links[l.key] == l {
		delete(c.links, l.key)
	}
	c.mu.Unlock()
}

func (c *Client) dial(addr string) (net.Conn, error) {
	d := net.Dialer{Timeout: c.opts.DialTimeout}
	nc, err := d.Dial("tcp4", addr)
	if err != nil {
		return nil, err
	}
	setKeepAlive(nc)
	return nc, nil
}
