package front_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"go.uber.org/goleak"

	"trefoilthread/io/front"
	"trefoilthread/io/httpw"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// patience bounds what a test waits for.
const patience = 5 * time.Second

func serve(t *testing.T, handle func(context.Context, *httpw.Request) *httpw.Response) (*front.Server, net.Conn) {
	t.Helper()
	return serveNoting(t, handle, func(front.Hold) {})
}

// serveNoting is serve with a function that takes the holds.
func serveNoting(
	t *testing.T, handle func(context.Context, *httpw.Request) *httpw.Response, held func(front.Hold),
) (*front.Server, net.Conn) {
	t.Helper()
	return serveLimited(t, handle, held, httpw.Limits{HeaderBytes: 1024, BodyBytes: 1024})
}

// serveLimited is serveNoting with limits of requests.
func serveLimited(
	t *testing.T, handle func(context.Context, *httpw.Request) *httpw.Response, held func(front.Hold), lim httpw.Limits,
) (*front.Server, net.Conn) {
	t.Helper()
	return serveBounded(t, handle, held, front.Bounds{Message: lim, Header: patience, Idle: patience})
}

// serveBounded is serveNoting with bounds.
func serveBounded(
	t *testing.T, handle func(context.Context, *httpw.Request) *httpw.Response, held func(front.Hold), bounds front.Bounds,
) (*front.Server, net.Conn) {
	t.Helper()
	return serveChanging(t, handle, held, func() front.Bounds { return bounds })
}

// serveChanging is serveNoting with bounds that change.
func serveChanging(
	t *testing.T, handle func(context.Context, *httpw.Request) *httpw.Response, held func(front.Hold), bounds func() front.Bounds,
) (*front.Server, net.Conn) {
	t.Helper()
	s := front.New(front.Options{
		Handle: handle, Clock: clockwork.NewRealClock(),
		Refuse: func(err *httpw.MessageError) *httpw.Response { return &httpw.Response{Status: err.Status()} },
		Failed: func(err error) { t.Error(err) },
		Held:   held,
		Bounds: bounds,
	})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- s.Serve(ln) }()
	c := dial(t, ln.Addr().String())
	t.Cleanup(func() {
		_ = c.Close()
		s.Close()
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		defer cancel()
		if err := s.Wait(ctx); err != nil {
			t.Error(err)
		}
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return s, c
}

func dial(t *testing.T, addr string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	if err := c.SetDeadline(time.Now().Add(patience)); err != nil {
		t.Fatal(err)
	}
	return c
}

func read(t *testing.T, br *bufio.Reader) *httpw.Response {
	t.Helper()
	resp, err := httpw.ReadResponse(br, "GET", httpw.Limits{HeaderBytes: 1024, BodyBytes: 1024})
	if err != nil {
		t.Fatal(err)
	}
	return resp
}

// Guards against pipelined requests that run one after the other, and against
// responses in another order than the requests: the second request ends first,
// and the first one ends only after it.
func TestPipelinedRequestsRunTogetherAndAreAnsweredInOrder(t *testing.T) {
	is := is.New(t)
	second := make(chan struct{})
	_, c := serve(t, func(_ context.Context, r *httpw.Request) *httpw.Response {
		if r.Target == "/1" {
			<-second
		} else {
			close(second)
		}
		return &httpw.Response{Status: 200, Body: []byte(r.Target)}
	})
	_, err := io.WriteString(c, "GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n")
	is.NoErr(err)
	br := bufio.NewReader(c)
	is.Equal(string(read(t, br).Body), "/1")
	is.Equal(string(read(t, br).Body), "/2")
}

// Guards against responses that come late because of an earlier one of their
// connection without a trace: nothing showed why half of the urgent checks were
// late (incident inc-c9e2).
func TestHeldResponseIsReported(t *testing.T) {
	is := is.New(t)
	second := make(chan struct{})
	holds := make(chan front.Hold, 1)
	_, c := serveNoting(t, func(_ context.Context, r *httpw.Request) *httpw.Response {
		if r.Target == "/2" {
			go func() { second <- struct{}{} }()
		} else {
			<-second
			time.Sleep(time.Millisecond)
		}
		return &httpw.Response{Status: 200}
	}, func(h front.Hold) { holds <- h })
	br := bufio.NewReader(c)
	// Whether the second response is stored before the first one is up to the
	// scheduler, so that it may take some turns.
	for len(holds) == 0 {
		_, err := io.WriteString(c, "GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n")
		is.NoErr(err)
		read(t, br)
		read(t, br)
	}
	h := <-holds
	is.Equal(h.Req.Target, "/2")
	is.Equal(h.By.Target, "/1")
	is.Equal(h.Status, 200)
	is.True(h.Held > 0)
}

// Guards against work that goes on after its caller has closed the connection,
// also when a further request waits behind it.
func TestCloseOfTheCallerCancels(t *testing.T) {
	is := is.New(t)
	started, canceled := make(chan struct{}, 2), make(chan struct{}, 2)
	_, c := serve(t, func(ctx context.Context, _ *httpw.Request) *httpw.Response {
		started <- struct{}{}
		<-ctx.Done()
		canceled <- struct{}{}
		return &httpw.Response{Status: 504}
	})
	_, err := io.WriteString(c, "GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n")
	is.NoErr(err)
	<-started
	<-started
	is.NoErr(c.Close())
	<-canceled
	<-canceled
}

// Guards against an idle connection that keeps a server from ending, and
// against a stop that cuts a request off.
func TestCloseWaitsForRequests(t *testing.T) {
	is := is.New(t)
	started, release := make(chan struct{}), make(chan struct{})
	s, c := serve(t, func(context.Context, *httpw.Request) *httpw.Response {
		close(started)
		<-release
		return &httpw.Response{Status: 200}
	})
	idle := dial(t, c.RemoteAddr().String())
	defer func() { _ = idle.Close() }()
	_, err := io.WriteString(c, "GET /1 HTTP/1.1\r\n\r\n")
	is.NoErr(err)
	<-started
	s.Close()
	// The idle connection may be refused or closed, but it ends.
	_, err = io.Copy(io.Discard, idle)
	is.NoErr(err)
	close(release)
	is.Equal(read(t, bufio.NewReader(c)).Status, 200)
}

// Guards against requests that are cut without an answer because they outlast a stop.
func TestCanceledRequestsAreAnswered(t *testing.T) {
	is := is.New(t)
	started := make(chan struct{})
	s, c := serve(t, func(ctx context.Context, _ *httpw.Request) *httpw.Response {
		close(started)
		<-ctx.Done()
		return &httpw.Response{Status: 504}
	})
	_, err := io.WriteString(c, "GET /1 HTTP/1.1\r\n\r\n")
	is.NoErr(err)
	<-started
	s.Cancel()
	is.Equal(read(t, bufio.NewReader(c)).Status, 504)
}

// Guards against bytes that are no request and get no answer, or are taken for
// a further one.
func TestBadRequestsAreAnsweredAndClosed(t *testing.T) {
	is := is.New(t)
	_, c := serve(t, func(context.Context, *httpw.Request) *httpw.Response { return &httpw.Response{Status: 200} })
	_, err := io.WriteString(c, "GET /1 HTTP/1.1\r\n\r\nBAD\r\n\r\nGET /2 HTTP/1.1\r\n\r\n")
	is.NoErr(err)
	br := bufio.NewReader(c)
	is.Equal(read(t, br).Status, 200)
	bad := read(t, br)
	is.Equal(bad.Status, 400)
	is.True(bad.Close)
	_, err = br.ReadByte()
	is.Equal(err, io.EOF)
}

// Guards against a body over the limit that reaches a target in part: whether
// its length is known or not, it is refused before the request is handed over.
func TestLongBodyIsRefusedBeforeItIsHandedOver(t *testing.T) {
	for _, framing := range []string{"Content-Length: 2000", "Transfer-Encoding: chunked"} {
		t.Run(framing, func(t *testing.T) {
			is := is.New(t)
			_, c := serve(t, func(context.Context, *httpw.Request) *httpw.Response {
				t.Error("request was handed over")
				return &httpw.Response{Status: 200}
			})
			_, err := fmt.Fprintf(c, "POST /1 HTTP/1.1\r\n%s\r\n\r\n7d0\r\n%s", framing, strings.Repeat("x", 100))
			is.NoErr(err)
			is.Equal(read(t, bufio.NewReader(c)).Status, 413)
		})
	}
}

// Guards against a stop that reports requests as cut off though all were answered, since a
// caller keeps its side of the closed connection open, and against one that is silent about
// a request without its response.
func TestWaitTellsUnansweredRequests(t *testing.T) {
	is := is.New(t)
	h := newScript(t)
	s, c := serve(t, h.handle)
	send(t, c, "/a")
	h.await(1)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	s.Close()
	is.Equal(s.Wait(ctx), front.UnansweredError{Conns: 1})
	h.release("/a")
	_, err := io.ReadAll(c) // the response, and the end of the server's side
	is.NoErr(err)
	is.NoErr(s.Wait(ctx))
}
