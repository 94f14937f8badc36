package front_test

import (
	"bufio"
	"context"
	"io"
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

// Guards against an interim response before or within the response to an earlier request of
// the connection, which its caller takes for a part of that.
func TestContinueMeetsNoEarlierResponse(t *testing.T) {
	is := is.New(t)
	h := newScript(t)
	_, c := serve(t, h.handle)
	_, err := io.WriteString(c, "GET /a HTTP/1.1\r\n\r\nPOST /b HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\nx")
	is.NoErr(err)
	h.await(2)
	h.release("/a", "/b")
	br := bufio.NewReader(c)
	for _, want := range []string{"/a", "/b"} {
		line, err := br.Peek(len("HTTP/1.1 200"))
		is.NoErr(err)
		is.Equal(string(line), "HTTP/1.1 200")
		is.Equal(string(read(t, br).Body), want)
	}
	_, err = io.WriteString(c, "POST /c HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\n")
	is.NoErr(err)
	line, err := br.ReadString('\n')
	is.NoErr(err)
	is.Equal(line, "HTTP/1.1 100 Continue\r\n")
	_, err = br.Discard(len("\r\n"))
	is.NoErr(err)
	_, err = io.WriteString(c, "x")
	is.NoErr(err)
	h.await(1)
	h.release("/c")
	is.Equal(string(read(t, br).Body), "/c")
}
