package front_test

import (
	"bufio"
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"trefoilthread/io/front"
	"trefoilthread/io/httpw"
	"trefoilthread/io/write"
)

// boundedConn records the largest number of bytes that were to be written within one deadline.
type boundedConn struct {
	net.Conn
	step    int
	largest *atomic.Int64
}

func (c *boundedConn) SetWriteDeadline(t time.Time) error {
	c.step = 0
	return c.Conn.SetWriteDeadline(t)
}

func (c *boundedConn) Write(p []byte) (int, error) {
	c.step += len(p)
	c.largest.Store(max(c.largest.Load(), int64(c.step)))
	return c.Conn.Write(p)
}

// boundedListener accepts boundedConns.
type boundedListener struct {
	net.Listener
	largest atomic.Int64
}

func (l *boundedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return &boundedConn{Conn: c, largest: &l.largest}, err
}

// Guards against one time bound for a whole response, which cuts long ones off for callers on
// slow links that read all the time.
func TestLongResponseHasABoundForEachStep(t *testing.T) {
	is := is.New(t)
	body := make([]byte, 2*write.StepSize+1)
	s := front.New(front.Options{
		Handle: func(context.Context, *httpw.Request) *httpw.Response { return &httpw.Response{Status: 200, Body: body} },
		Clock:  clockwork.NewRealClock(),
		Bounds: func() front.Bounds {
			return front.Bounds{Message: httpw.Limits{HeaderBytes: 1024, BodyBytes: 1024}, Header: patience, Idle: patience}
		},
	})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	l := &boundedListener{Listener: ln}
	done := make(chan error, 1)
	go func() { done <- s.Serve(l) }()
	c := dial(t, ln.Addr().String())
	send(t, c, "/a")
	resp, err := httpw.ReadResponse(bufio.NewReader(c), "POST", httpw.Limits{HeaderBytes: 1024, BodyBytes: int64(len(body))})
	is.NoErr(err)
	is.Equal(len(resp.Body), len(body))
	is.NoErr(c.Close())
	s.Close()
	is.NoErr(s.Wait(t.Context()))
	is.NoErr(<-done)
	is.True(l.largest.Load() <= write.StepSize)
}
