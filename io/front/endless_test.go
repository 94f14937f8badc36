package front_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"trefoilthread/io/front"
	"trefoilthread/io/httpw"
)

// inSockets is more than the buffers of a connection hold, in bytes.
const inSockets = 16 << 20

// slowly are the ways in which a caller may send a byte at a time without end.
var slowly = map[string]string{
	"empty lines":     "\r\n",
	"request line":    "GET /",
	"header line":     "GET / HTTP/1.1\r\nA: ",
	"stated length":   "POST / HTTP/1.1\r\nContent-Length: 1000\r\n\r\n",
	"chunk extension": "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1;",
	"trailer line":    "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nA: ",
}

// Guards against callers that hold a connection for as long as they send a byte at a time.
func TestSlowRequestsEnd(t *testing.T) {
	for name, start := range slowly {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			_, c := serveBounded(t, func(context.Context, *httpw.Request) *httpw.Response {
				t.Error("request was handed over")
				return &httpw.Response{Status: 200}
			}, func(front.Hold) {}, front.Bounds{
				Message: httpw.Limits{HeaderBytes: 1024, BodyBytes: 1024}, Header: 100 * time.Millisecond, Idle: 100 * time.Millisecond,
			})
			_, err := io.WriteString(c, start)
			for err == nil {
				time.Sleep(10 * time.Millisecond)
				_, err = io.WriteString(c, "x")
			}
			is.New(t).True(!isTimeout(err)) // the server has closed it
		})
	}
}

func isTimeout(err error) bool {
	t, ok := err.(net.Error)
	return ok && t.Timeout()
}

// Guards against bytes without end behind the last request of a connection that are read for
// as long as the request runs: they cost a VM its processor time.
func TestEndlessBytesBehindTheLastRequest(t *testing.T) {
	block := []byte(strings.Repeat("x", 64<<10))
	for name, start := range map[string]string{
		"closing request":  "GET /1 HTTP/1.1\r\nConnection: close\r\n\r\n",
		"malformed bytes":  "GET /1 HTTP/1.1\r\n\r\n\x16\x03\x01\r\n",
		"too long a line":  "GET /1 HTTP/1.1\r\n\r\nGET /",
		"too long a body":  "GET /1 HTTP/1.1\r\n\r\nPOST /2 HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n",
		"too long a chunk": "GET /1 HTTP/1.1\r\n\r\nPOST /2 HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nfffffff\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newScript(t)
			_, c := serve(t, h.handle)
			var accepted atomic.Int64
			sent := make(chan struct{})
			go func() {
				defer close(sent)
				_, err := io.WriteString(c, start)
				for err == nil && accepted.Load() < 4*inSockets {
					var n int
					n, err = c.Write(block)
					accepted.Add(int64(n))
				}
			}()
			h.await(1)
			for before := int64(-1); before != accepted.Load(); { // until the writes wait, or all was read
				before = accepted.Load()
				time.Sleep(100 * time.Millisecond)
			}
			is.True(accepted.Load() < inSockets)
			h.release("/1")
			resp, err := httpw.ReadResponse(bufio.NewReader(c), "GET", httpw.Limits{HeaderBytes: 1024, BodyBytes: 1024})
			is.NoErr(err)
			is.Equal(string(resp.Body), "/1")
			_ = c.Close()
			<-sent
		})
	}
}
