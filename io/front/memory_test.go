package front_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"trefoilthread/io/front"
	"trefoilthread/io/httpw"
)

// upload sends a request with a body of n bytes.
func upload(t *testing.T, c net.Conn, path string, n int) {
	t.Helper()
	req := &httpw.Request{Method: "POST", Target: path, Body: make([]byte, n)}
	if _, err := c.Write(httpw.AppendRequest(nil, req)); err != nil {
		t.Fatal(err)
	}
}

// Guards against uploads that fill the memory of the VM: what exceeds the budget is
// refused as not run, short requests are served beside it, and the memory is there again
// once an upload has been answered.
func TestUploadsBeyondTheMemoryAreRefused(t *testing.T) {
	const long = 200 << 10 // the budget has room for one
	is := is.New(t)
	started, finish := make(chan struct{}), make(chan struct{})
	_, first := serveLimited(t, func(_ context.Context, req *httpw.Request) *httpw.Response {
		switch req.Target {
		case "/held":
			close(started)
			<-finish
		case "/refused":
			t.Error("request was handed over")
		}
		return &httpw.Response{Status: 200}
	}, func(front.Hold) {}, httpw.Limits{HeaderBytes: 1024, BodyBytes: 1 << 20, Budget: httpw.NewBudget(long)})
	upload(t, first, "/held", long)
	<-started

	addr := first.RemoteAddr().String()
	second := dial(t, addr)
	defer func() { _ = second.Close() }()
	upload(t, second, "/refused", long)
	refused := read(t, bufio.NewReader(second))
	is.Equal(refused.Status, 503)
	is.True(refused.Close)

	third := dial(t, addr)
	defer func() { _ = third.Close() }()
	br := bufio.NewReader(third)
	upload(t, third, "/short", 1000)
	is.Equal(read(t, br).Status, 200)

	close(finish)
	is.Equal(read(t, bufio.NewReader(first)).Status, 200)
	upload(t, third, "/long", long)
	is.Equal(read(t, br).Status, 200)
}

// Guards against memory of responses that is kept after they were written, or after their
// callers have left.
func TestResponsesGiveTheirMemoryBack(t *testing.T) {
	const long = 200 << 10
	for name, leave := range map[string]func(c net.Conn){
		"written":                func(c net.Conn) { _, _ = io.CopyN(io.Discard, c, long) },
		"unread":                 func(net.Conn) {},
		"left before the answer": func(c net.Conn) { _ = c.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			budget := httpw.NewBudget(long)
			handled := make(chan *httpw.Holding)
			finish := make(chan struct{})
			_, first := serve(t, func(context.Context, *httpw.Request) *httpw.Response {
				memory, ok := budget.Hold(long)
				is.True(ok)
				handled <- memory
				<-finish
				return &httpw.Response{Status: 200, Body: make([]byte, long), Memory: memory}
			})
			c := dial(t, first.RemoteAddr().String())
			defer func() { _ = c.Close() }()
			upload(t, c, "/", 0)
			<-handled
			if name == "left before the answer" {
				leave(c)
			}
			close(finish)
			leave(c)
			_ = c.Close()
			for end := time.Now().Add(patience); ; time.Sleep(time.Millisecond) {
				if _, ok := budget.Hold(long); ok {
					return
				}
				if time.Now().After(end) {
					t.Fatal("memory is still held")
				}
			}
		})
	}
}

// Guards against bodies that stay in memory, though they no longer count, until the earlier
// requests of their connection are answered: their exchange keeps the request.
func TestAnsweredRequestsKeepNoBody(t *testing.T) {
	const long = 200 << 10
	is := is.New(t)
	var kept *httpw.Request
	_, c := serveLimited(t, func(_ context.Context, req *httpw.Request) *httpw.Response {
		kept = req
		return &httpw.Response{Status: 200}
	}, func(front.Hold) {}, httpw.Limits{HeaderBytes: 1024, BodyBytes: 1 << 20, Budget: httpw.NewBudget(long)})
	upload(t, c, "/", long)
	is.Equal(read(t, bufio.NewReader(c)).Status, 200)
	is.Equal(len(kept.Body), 0)
}
