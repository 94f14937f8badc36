package local_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"trefoilthread/io/httpw"
	"trefoilthread/io/local"
)

// Guards against a request that is cut because the context of the one before it on its
// connection ended just as that one was answered.
func TestEndOfAContextCutsNoLaterRequest(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = ln.Close() }()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go answerAll(c)
		}
	}()
	cancel := func() {}
	c := local.New(ln.Addr().String(), local.Options{
		Clock: clockwork.NewRealClock(), Limits: limits,
		Belongs: func(*httpw.Request, *httpw.Response) bool {
			cancel()
			return true
		},
	})
	for i := range 2000 {
		var ctx context.Context
		ctx, cancel = context.WithCancel(t.Context())
		_, err := c.Do(ctx, &httpw.Request{Method: "POST", Target: fmt.Sprint("/", i)})
		cancel()
		is.NoErr(err)
	}
}

// answerAll answers the requests of a connection until it ends.
func answerAll(c net.Conn) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for {
		if _, err := httpw.ReadRequest(br, limits); err != nil {
			return
		}
		answer(c, "", "")
	}
}
