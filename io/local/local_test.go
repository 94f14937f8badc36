package local_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"trefoilthread/io/httpw"
	"trefoilthread/io/local"
)

const patience = 5 * time.Second

// target accepts connections and runs script for each, with its number.
func target(t *testing.T, script func(n int, c net.Conn, br *bufio.Reader)) *local.Client {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for n := 1; ; n++ {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				script(n, c, bufio.NewReader(c))
			}()
		}
	}()
	return local.New(ln.Addr().String(), local.Options{
		Clock: clockwork.NewRealClock(), Limits: httpw.Limits{HeaderBytes: 4096, BodyBytes: 1 << 20},
		Belongs: func(req *httpw.Request, resp *httpw.Response) bool {
			return resp.Header.Get("Id") == req.Header.Get("Id")
		},
	})
}

func do(t *testing.T, c *local.Client, id, body string) (*httpw.Response, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	return c.Do(ctx, &httpw.Request{Method: "POST", Target: "/", Header: httpw.Header{{Name: "Id", Value: id}}, Body: []byte(body)})
}

func answer(w io.Writer, id, body string) {
	resp := &httpw.Response{Status: 200, Header: httpw.Header{{Name: "Id", Value: id}}, Body: []byte(body)}
	_, _ = w.Write(httpw.AppendResponse(nil, resp, "POST"))
}

var limits = httpw.Limits{HeaderBytes: 4096, BodyBytes: 1 << 20}

// Guards against a late extra response that is passed on as the answer to the
// next request, whether it comes before that request or with its answer.
func TestExtraResponses(t *testing.T) {
	is := is.New(t)
	c := target(t, func(_ int, c net.Conn, br *bufio.Reader) {
		for last := ""; ; {
			req, err := httpw.ReadRequest(br, limits)
			if err != nil {
				return
			}
			if last != "" {
				answer(c, last, "extra") // at the place of the next response
			}
			last = req.Header.Get("Id")
			answer(c, last, "to "+last)
		}
	})
	for _, id := range []string{"1", "2", "3"} {
		resp, err := do(t, c, id, "")
		is.NoErr(err)
		is.Equal(string(resp.Body), "to "+id)
	}
}

// Guards against a kept connection that is used although the target has closed
// it, or has sent bytes on it that nobody asked for.
func TestSpoiledConnectionsAreNotUsedAgain(t *testing.T) {
	for name, spoil := range map[string]func(c net.Conn){
		"closed":      func(c net.Conn) { _ = c.Close() },
		"extra bytes": func(c net.Conn) { answer(c, "1", "again") },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			spoiled := make(chan struct{})
			c := target(t, func(n int, c net.Conn, br *bufio.Reader) {
				req, err := httpw.ReadRequest(br, limits)
				if err != nil {
					return
				}
				answer(c, req.Header.Get("Id"), "ok")
				if n == 1 {
					spoil(c)
					close(spoiled)
					_, _ = io.Copy(io.Discard, br)
				}
			})
			_, err := do(t, c, "1", "")
			is.NoErr(err)
			<-spoiled
			time.Sleep(20 * time.Millisecond) // the bytes cross the loopback
			resp, err := do(t, c, "2", "")
			is.NoErr(err)
			is.Equal(string(resp.Body), "ok")
		})
	}
}

// Guards against a request that may have run and is reported as not sent.
func TestWhatErrorsProve(t *testing.T) {
	is := is.New(t)
	c := target(t, func(_ int, c net.Conn, br *bufio.Reader) {
		if _, err := httpw.ReadRequest(br, limits); err == nil {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 10\r\n\r\nhalf")
		}
	})
	_, err := do(t, c, "1", "")
	is.True(err != nil && !errors.Is(err, local.ErrNotSent))
	// Nobody listens at the port that is reserved for tcpmux.
	closed := local.New("127.0.0.1:1", local.Options{Clock: clockwork.NewRealClock()})
	_, err = do(t, closed, "1", "")
	is.True(errors.Is(err, local.ErrNotSent) && errors.Is(err, local.ErrRefused))
	// A dial that ends with its caller says nothing about the target.
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = closed.Do(ctx, &httpw.Request{Method: "GET", Target: "/"})
	is.True(errors.Is(err, local.ErrNotSent) && !errors.Is(err, local.ErrRefused))
}

// Guards against a target that goes on working after the request was given up:
// it sees its connection close.
func TestCancelClosesTheConnection(t *testing.T) {
	is := is.New(t)
	read, closed := make(chan struct{}), make(chan struct{})
	c := target(t, func(_ int, _ net.Conn, br *bufio.Reader) {
		if _, err := httpw.ReadRequest(br, limits); err != nil {
			return
		}
		close(read)
		_, _ = io.Copy(io.Discard, br)
		close(closed)
	})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-read
		cancel()
	}()
	_, err := c.Do(ctx, &httpw.Request{Method: "GET", Target: "/"})
	is.True(errors.Is(err, context.Canceled))
	<-closed
}

// Guards against other bytes at the place of the rest of a long body, when the
// target answers before it has read the body and reads on later.
func TestEarlyAnswerToALongBody(t *testing.T) {
	is := is.New(t)
	rest := make(chan int64, 1)
	c := target(t, func(n int, c net.Conn, br *bufio.Reader) {
		if n > 1 {
			req, err := httpw.ReadRequest(br, limits)
			if err == nil {
				answer(c, req.Header.Get("Id"), "next")
			}
			return
		}
		head, err := httpw.ReadRequestHead(br, httpw.Limits{HeaderBytes: 4096, BodyBytes: 64 << 20})
		if err != nil {
			return
		}
		answer(c, head.Header.Get("Id"), "early")
		time.Sleep(50 * time.Millisecond)
		body, _ := io.ReadAll(br)
		rest <- int64(len(strings.TrimLeft(string(body), "x")))
	})
	resp, err := do(t, c, "1", strings.Repeat("x", 32<<20))
	is.NoErr(err)
	is.Equal(string(resp.Body), "early")
	resp, err = do(t, c, "2", "")
	is.NoErr(err)
	is.Equal(string(resp.Body), "next")
	is.Equal(<-rest, int64(0))
}
