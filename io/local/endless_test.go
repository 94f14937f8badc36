package local_test

import (
	"bufio"
	"context"
	"errors"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"trefoilthread/io/httpw"
	"trefoilthread/io/local"
)

// endless are the ways in which a target may send bytes without end: a start, and what
// is repeated after it.
var endless = map[string]struct{ start, repeated string }{
	"status line":       {"HTTP/1.1 200 ", "x"},
	"header line":       {"HTTP/1.1 200 OK\r\nA: ", "x"},
	"header lines":      {"HTTP/1.1 200 OK\r\n", "A: b\r\n"},
	"interim responses": {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
	"chunk size":        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0"},
	"chunk extension":   {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x"},
	"chunk extensions":  {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1;" + strings.Repeat("x", 900) + "\r\nx\r\n"},
	"chunks":            {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nabcd\r\n"},
	"trailer":           {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n"},
	"body to the end":   {"HTTP/1.1 200 OK\r\n\r\n", "x"},
	"stated length":     {"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", "x"},
	"other responses":   {"", "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 1\r\n\r\nx"},
	"no HTTP":           {"\x16\x03\x01", "\x00\xff"},
}

// writeEndlessly writes until the connection is closed, and returns how many bytes were
// accepted.
func writeEndlessly(c net.Conn, start, repeated string) int64 {
	block := []byte(strings.Repeat(repeated, 1+4096/len(repeated)))
	n, err := c.Write([]byte(start))
	total := int64(n)
	for err == nil {
		n, err = c.Write(block)
		total += int64(n)
	}
	return total
}

// Guards against a target in trouble that sends bytes without end: the connection is
// closed as soon as they exceed the bound of the part that they belong to, long before
// the deadline of the request, and isn't used again.
func TestEndlessBytes(t *testing.T) {
	for name, bytes := range endless {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			closed := make(chan struct{})
			c := target(t, func(n int, c net.Conn, br *bufio.Reader) {
				req, err := httpw.ReadRequest(br, limits)
				if err != nil {
					return
				}
				if n > 1 {
					answer(c, req.Header.Get("Id"), "whole")
					return
				}
				writeEndlessly(c, bytes.start, bytes.repeated)
				close(closed)
			})
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			_, err := c.Do(ctx, &httpw.Request{Method: "POST", Target: "/", Header: httpw.Header{{Name: "Id", Value: "a"}}})
			is.True(err != nil)
			is.NoErr(ctx.Err()) // the bound ended it
			is.True(!errors.Is(err, local.ErrNotSent))
			<-closed
			resp, err := do(t, c, "b", "")
			is.NoErr(err)
			is.Equal(string(resp.Body), "whole")
		})
	}
}

// Guards against memory that grows with the number of connections on which a target
// sends without end: a VM has 184 MB, and each body may have 64 MB.
func TestEndlessBodiesShareABudget(t *testing.T) {
	const (
		connections = 16
		budget      = 4 << 20
		perBody     = 64 << 10 // needs no budget
		inSockets   = 8 << 20  // of one connection, in the kernel
	)
	is := is.New(t)
	var accepted atomic.Int64
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = ln.Close() }()
	var writers sync.WaitGroup
	writers.Add(connections)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer writers.Done()
				defer func() { _ = c.Close() }()
				accepted.Add(writeEndlessly(c, "HTTP/1.1 200 OK\r\n\r\n", "x"))
			}()
		}
	}()
	c := local.New(ln.Addr().String(), local.Options{
		Clock:   clockwork.NewRealClock(),
		Limits:  httpw.Limits{HeaderBytes: 4096, BodyBytes: 1 << 40, Budget: httpw.NewBudget(budget)},
		Belongs: func(*httpw.Request, *httpw.Response) bool { return true },
	})
	var callers sync.WaitGroup
	for range connections {
		callers.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			_, err := c.Do(ctx, &httpw.Request{Method: "GET", Target: "/"})
			if err == nil || ctx.Err() != nil {
				t.Errorf("error %v, context %v", err, ctx.Err())
			}
		})
	}
	callers.Wait()
	writers.Wait()
	is.True(accepted.Load() <= budget+connections*(perBody+inSockets))
}
