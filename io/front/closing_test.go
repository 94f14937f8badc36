package front_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"trefoilthread/io/front"
	"trefoilthread/io/httpw"
)

// script is a handler whose requests end when the test says so.
type script struct {
	t       *testing.T
	resp    httpw.Response // of all requests
	started chan string    // targets of the requests that were handed over

	mu       sync.Mutex
	seen     []string
	released map[string]chan struct{}
}

func newScript(t *testing.T) *script {
	return &script{
		t: t, resp: httpw.Response{Status: 200}, started: make(chan string, 100), released: make(map[string]chan struct{}),
	}
}

// gate returns the channel that is closed when a request is to end.
func (s *script) gate(target string) chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.released[target] == nil {
		s.released[target] = make(chan struct{})
	}
	return s.released[target]
}

func (s *script) handle(_ context.Context, r *httpw.Request) *httpw.Response {
	s.mu.Lock()
	s.seen = append(s.seen, r.Target)
	s.mu.Unlock()
	s.started <- r.Target
	<-s.gate(r.Target)
	resp := s.resp
	if resp.Body == nil {
		resp.Body = []byte(r.Target)
	}
	return &resp
}

// release ends requests.
func (s *script) release(targets ...string) {
	for _, target := range targets {
		close(s.gate(target))
	}
}

// await waits until n more requests have been handed over.
func (s *script) await(n int) {
	s.t.Helper()
	for range n {
		select {
		case <-s.started:
		case <-time.After(patience):
			s.t.Fatal("request not handed over")
		}
	}
}

// handed returns the targets of all requests that were handed over, sorted.
func (s *script) handed() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(slices.Values(s.seen))
}

// send sends requests in one go.
func send(t *testing.T, c net.Conn, targets ...string) {
	t.Helper()
	var b strings.Builder
	for _, target := range targets {
		fmt.Fprintf(&b, "POST %s HTTP/1.1\r\nContent-Length: 1\r\n\r\nx", target)
	}
	if _, err := io.WriteString(c, b.String()); err != nil {
		t.Fatal(err)
	}
}

// readLast reads the response that closes the connection, and the end.
func readLast(t *testing.T, br *bufio.Reader) *httpw.Response {
	t.Helper()
	resp := read(t, br)
	if !resp.Close {
		t.Fatalf("response %q doesn't close the connection", resp.Body)
	}
	if _, err := br.ReadByte(); err != io.EOF {
		t.Fatalf("connection goes on after response %q: %v", resp.Body, err)
	}
	return resp
}

// Guards against a stop that drops requests which have been handed over: the response before
// them said that the connection ends, so that their callers sent them again.
func TestDrainAnswersAllAcceptedRequests(t *testing.T) {
	is := is.New(t)
	h := newScript(t)
	s, c := serve(t, h.handle)
	send(t, c, "/1", "/2")
	h.await(2)
	s.Drain()
	br := bufio.NewReader(c)
	h.release("/1")
	resp := read(t, br)
	is.Equal(string(resp.Body), "/1")
	is.True(!resp.Close)
	h.release("/2")
	is.Equal(string(readLast(t, br).Body), "/2")
}

// Guards against requests that are handed over though the connection ends with an earlier
// one.
func TestNothingIsAcceptedOnceTheLastRequestIsKnown(t *testing.T) {
	is := is.New(t)
	h := newScript(t)
	s, c := serve(t, h.handle)
	send(t, c, "/1", "/2")
	h.await(2)
	s.Drain()
	br := bufio.NewReader(c)
	h.release("/1")
	is.Equal(string(read(t, br).Body), "/1")
	send(t, c, "/3")
	h.release("/2")
	is.Equal(string(readLast(t, br).Body), "/2")
	is.Equal(h.handed(), []string{"/1", "/2"})
}

// Guards against a response that closes the connection and is followed by another, and
// against a request that is handed over and gets no response. Which of the two requests is
// the last one depends on the scheduler, so that the test takes many turns.
func TestNothingFollowsAClosingResponse(t *testing.T) {
	is := is.New(t)
	h := newScript(t)
	h.release("/1", "/2")
	s, first := serve(t, h.handle)
	s.Drain()
	for range 50 {
		c := dial(t, first.RemoteAddr().String())
		send(t, c, "/1", "/2")
		br := bufio.NewReader(c)
		answered := []string{}
		for closed := false; !closed; {
			resp := read(t, br)
			answered = append(answered, string(resp.Body))
			closed = resp.Close
		}
		_, err := br.ReadByte()
		is.Equal(err, io.EOF)
		is.NoErr(c.Close())
		is.Equal(h.handed(), answered)
		h.mu.Lock()
		h.seen = nil
		h.mu.Unlock()
	}
}

// Guards against a connection that ends with each response of a draining server before its
// callers have heard of the stop.
func TestDrainingServerTakesRequests(t *testing.T) {
	is := is.New(t)
	h := newScript(t)
	h.release("/1", "/2")
	s, c := serve(t, h.handle)
	s.Drain()
	for _, target := range []string{"/1", "/2"} {
		send(t, c, target)
		is.Equal(string(readLast(t, bufio.NewReader(c)).Body), target)
		addr := c.RemoteAddr().String()
		c = dial(t, addr)
		defer func() { _ = c.Close() }()
	}
}

// long is a body that doesn't fit the buffers of a connection.
var long = make([]byte, 16<<20)

// readLong reads the response with the long body.
func readLong(t *testing.T, br *bufio.Reader) *httpw.Response {
	t.Helper()
	resp, err := httpw.ReadResponse(br, "POST", httpw.Limits{HeaderBytes: 1024, BodyBytes: int64(len(long))})
	if err != nil {
		t.Fatal(err)
	}
	return resp
}

// Guards against a request that is handed over while the response is written with which the
// connection ends.
func TestNothingIsAcceptedWhileTheLastResponseIsWritten(t *testing.T) {
	is := is.New(t)
	h := newScript(t)
	h.resp.Body = long
	h.release("/1", "/2")
	s, c := serve(t, h.handle)
	s.Drain()
	send(t, c, "/1")
	br := bufio.NewReader(c)
	_, err := br.Peek(1) // the response is being written
	is.NoErr(err)
	send(t, c, "/2")
	time.Sleep(50 * time.Millisecond) // time for the fault to show
	is.True(readLong(t, br).Close)
	_, err = br.ReadByte()
	is.Equal(err, io.EOF)
	is.Equal(h.handed(), []string{"/1"})
}

// Guards against a connection that is closed as idle in the middle of a response that its
// caller reads slowly.
func TestIdleTimeCutsNoResponse(t *testing.T) {
	is := is.New(t)
	const idle = 50 * time.Millisecond
	h := newScript(t)
	h.resp.Body = long
	h.release("/1")
	bounds := front.Bounds{Message: httpw.Limits{HeaderBytes: 1024, BodyBytes: 1024}, Header: patience, Idle: idle}
	_, c := serveBounded(t, h.handle, func(front.Hold) {}, bounds)
	send(t, c, "/1")
	br := bufio.NewReader(c)
	_, err := br.Peek(1) // the response is being written
	is.NoErr(err)
	time.Sleep(4 * idle) // time for the fault to show
	is.Equal(len(readLong(t, br).Body), len(long))
	_, err = br.ReadByte()
	is.Equal(err, io.EOF)
}

// Guards against requests that are dropped behind a response that ends the connection for
// another reason than a stop.
func TestLastResponseIsThatToTheLatestRequest(t *testing.T) {
	t.Run("response asks for the end", func(t *testing.T) {
		is := is.New(t)
		h := newScript(t)
		h.resp.Close = true
		_, c := serve(t, h.handle)
		send(t, c, "/1", "/2")
		h.await(2)
		br := bufio.NewReader(c)
		h.release("/1")
		is.True(!read(t, br).Close)
		h.release("/2")
		is.Equal(string(readLast(t, br).Body), "/2")
	})
	t.Run("caller asks for the end", func(t *testing.T) {
		is := is.New(t)
		h := newScript(t)
		_, c := serve(t, h.handle)
		send(t, c, "/1")
		_, err := io.WriteString(c, "GET /2 HTTP/1.1\r\nConnection: close\r\n\r\n")
		is.NoErr(err)
		send(t, c, "/3")
		h.await(2)
		br := bufio.NewReader(c)
		h.release("/2", "/1")
		is.True(!read(t, br).Close)
		is.Equal(string(readLast(t, br).Body), "/2")
		is.Equal(h.handed(), []string{"/1", "/2"})
	})
	t.Run("idle", func(t *testing.T) {
		is := is.New(t)
		h := newScript(t)
		bounds := front.Bounds{Message: httpw.Limits{HeaderBytes: 1024, BodyBytes: 1024}, Header: patience, Idle: 50 * time.Millisecond}
		_, c := serveBounded(t, h.handle, func(front.Hold) {}, bounds)
		send(t, c, "/1", "/2")
		h.await(2)
		time.Sleep(4 * bounds.Idle)
		br := bufio.NewReader(c)
		h.release("/1")
		is.True(!read(t, br).Close)
		h.release("/2")
		is.Equal(string(readLast(t, br).Body), "/2")
	})
	for name, drain := range map[string]bool{"bad request": false, "bad request while draining": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newScript(t)
			s, c := serve(t, h.handle)
			send(t, c, "/1", "/2")
			_, err := io.WriteString(c, "BAD\r\n\r\n")
			is.NoErr(err)
			h.await(2)
			br := bufio.NewReader(c)
			h.release("/2")
			if drain {
				s.Drain()
			}
			h.release("/1")
			is.Equal(string(read(t, br).Body), "/1")
			resp := read(t, br)
			is.Equal(string(resp.Body), "/2")
			if !resp.Close { // the bad request was read before the connection had a last one
				is.Equal(readLast(t, br).Status, 400)
				return
			}
			is.True(drain)
			_, err = br.ReadByte()
			is.Equal(err, io.EOF)
		})
	}
}
