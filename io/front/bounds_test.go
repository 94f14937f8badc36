package front_test

import (
	"bufio"
	"context"
	"io"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"trefoilthread/io/front"
	"trefoilthread/io/httpw"
)

// Guards against a request that is judged by the limits from before its connection waited for
// it, which may be those from before the first configuration.
func TestLimitsAreThoseWhenTheRequestBegins(t *testing.T) {
	is := is.New(t)
	var bounds atomic.Pointer[front.Bounds]
	lim := httpw.Limits{HeaderBytes: 1024, BodyBytes: 8}
	bounds.Store(&front.Bounds{Message: lim, Header: patience, Idle: patience})
	_, c := serveChanging(t, func(context.Context, *httpw.Request) *httpw.Response {
		return &httpw.Response{Status: 200}
	}, func(front.Hold) {}, func() front.Bounds { return *bounds.Load() })
	br := bufio.NewReader(c)
	upload(t, c, "/short", 8)
	is.Equal(read(t, br).Status, 200)
	time.Sleep(50 * time.Millisecond) // the connection waits for the next request
	lim.BodyBytes = 16
	bounds.Store(&front.Bounds{Message: lim, Header: patience, Idle: patience})
	upload(t, c, "/long", 16)
	is.Equal(read(t, br).Status, 200)
	upload(t, c, "/longer", 17)
	is.Equal(read(t, br).Status, 413)
}

// Guards against a connection that is closed after an idle time that is no longer in force.
func TestIdleTimeIsTheOneInForce(t *testing.T) {
	is := is.New(t)
	const before = 700 * time.Millisecond
	var bounds atomic.Pointer[front.Bounds]
	b := front.Bounds{Message: httpw.Limits{HeaderBytes: 1024, BodyBytes: 8}, Header: patience, Idle: before}
	bounds.Store(&b)
	_, c := serveChanging(t, func(_ context.Context, r *httpw.Request) *httpw.Response {
		time.Sleep(50 * time.Millisecond) // the connection waits for the next request
		longer := b
		longer.Idle = patience
		bounds.Store(&longer)
		return &httpw.Response{Status: 200, Body: []byte(strings.ToUpper(r.Target))}
	}, func(front.Hold) {}, func() front.Bounds { return *bounds.Load() })
	br := bufio.NewReader(c)
	upload(t, c, "/a", 1)
	is.Equal(string(read(t, br).Body), "/A")
	time.Sleep(2 * before)
	upload(t, c, "/b", 1)
	is.Equal(string(read(t, br).Body), "/B")
}

// Guards against an idle connection that is closed sooner than the idle time after its last
// response.
func TestIdleTimeCountsFromTheLastResponse(t *testing.T) {
	is := is.New(t)
	const idle = time.Second
	_, c := serveBounded(t, func(context.Context, *httpw.Request) *httpw.Response {
		time.Sleep(idle * 8 / 10)
		return &httpw.Response{Status: 200}
	}, func(front.Hold) {}, front.Bounds{Message: httpw.Limits{HeaderBytes: 1024, BodyBytes: 1024}, Header: patience, Idle: idle})
	_, err := io.WriteString(c, "GET /1 HTTP/1.1\r\n\r\n")
	is.NoErr(err)
	br := bufio.NewReader(c)
	is.True(!read(t, br).Close)
	time.Sleep(idle / 2) // callers reuse connections idle for up to four fifths of the limit
	_, err = io.WriteString(c, "GET /2 HTTP/1.1\r\n\r\n")
	is.NoErr(err)
	_, err = httpw.ReadResponse(br, "GET", httpw.Limits{HeaderBytes: 1024, BodyBytes: 1024})
	is.NoErr(err)
}
