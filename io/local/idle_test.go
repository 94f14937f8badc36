package local_test

import (
	"bufio"
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"trefoilthread/io/httpw"
	"trefoilthread/io/local"
)

// Guards against kept connections that nobody uses and nobody closes: bytes that a target in
// trouble sends on them after its responses fill the sockets, which count as memory.
func TestBytesAfterAResponseEndAnIdleConnection(t *testing.T) {
	const connections = 8
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = ln.Close() }()
	var together, closed sync.WaitGroup
	together.Add(connections)
	closed.Add(connections)
	spill := make(chan struct{})
	go func() {
		for range connections {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer closed.Done()
				defer func() { _ = c.Close() }()
				if _, err := httpw.ReadRequest(bufio.NewReader(c), limits); err != nil {
					return
				}
				together.Done()
				together.Wait() // so that no connection is used twice
				answer(c, "", "whole")
				<-spill
				writeEndlessly(c, "HTTP/1.1 200 OK\r\n\r\n", "x")
			}()
		}
	}()
	clock := clockwork.NewFakeClock()
	c := local.New(ln.Addr().String(), local.Options{
		Clock: clock, Limits: limits, Belongs: func(*httpw.Request, *httpw.Response) bool { return true },
	})
	var callers sync.WaitGroup
	for range connections {
		callers.Go(func() {
			if _, err := do(t, c, "", ""); err != nil {
				t.Error(err)
			}
		})
	}
	callers.Wait()
	close(spill)
	ended := make(chan struct{})
	go func() {
		closed.Wait()
		close(ended)
	}()
	for end := time.Now().Add(patience); ; {
		clock.Advance(100 * time.Millisecond)
		select {
		case <-ended:
			return
		case <-time.After(10 * time.Millisecond):
		}
		if time.Now().After(end) {
			t.Fatal("idle connections with unread bytes are open")
		}
	}
}

// Guards against a target that sends a byte at a time, and keeps a connection and its
// request beyond the deadline.
func TestSlowBytesEndWithTheContext(t *testing.T) {
	for name, start := range map[string]string{
		"head": "HTTP/1.1 200 OK\r\nA: ",
		"body": "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			closed := make(chan struct{})
			c := target(t, func(_ int, c net.Conn, br *bufio.Reader) {
				defer close(closed)
				if _, err := httpw.ReadRequest(br, limits); err != nil {
					return
				}
				_, err := c.Write([]byte(start))
				for err == nil {
					time.Sleep(5 * time.Millisecond)
					_, err = c.Write([]byte("x"))
				}
			})
			ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
			defer cancel()
			_, err := c.Do(ctx, &httpw.Request{Method: "GET", Target: "/"})
			is.True(err != nil)
			is.True(ctx.Err() != nil)
			<-closed
		})
	}
}
