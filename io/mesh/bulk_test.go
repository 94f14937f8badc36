package mesh_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"trefoilthread/io/mesh"
)

const (
	// slowStep bytes pass a slow link in each slowTime: 1.6 MB/s.
	slowStep = 8 << 10
	slowTime = 5 * time.Millisecond
	// longBody takes 250 ms on a slow link.
	longBody = 400 << 10
)

// slowLink returns an address whose connections lead to addr over a slow link.
func slowLink(t *testing.T, addr string) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var ends []net.Conn
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			near, err := ln.Accept()
			if err != nil {
				return
			}
			far, err := net.Dial("tcp", addr)
			if err != nil {
				_ = near.Close()
				continue
			}
			ends = append(ends, near, far)
			go copySlowly(far, near)
			go copySlowly(near, far)
		}
	}()
	t.Cleanup(func() {
		_ = ln.Close()
		<-done
		for _, c := range ends {
			_ = c.Close()
		}
	})
	return ln.Addr().String()
}

// copySlowly copies until one side ends, then closes both.
func copySlowly(to, from net.Conn) {
	defer func() { _, _ = to.Close(), from.Close() }()
	buf := make([]byte, slowStep)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		time.Sleep(slowTime * time.Duration(n) / slowStep)
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

// echo answers with the body of the call.
func echo(_ context.Context, _ mesh.Hello, call *mesh.CallHead) *mesh.Answer {
	return &mesh.Answer{Status: 200, Body: call.Body}
}

// Guards against a connection that is taken for silent while a long body is on its way,
// in either direction.
func TestLongBodyIsNoSilence(t *testing.T) {
	is := is.New(t)
	_, addr := serve(t, echo)
	c := client(t, mesh.ClientOptions{Silence: 60 * time.Millisecond})
	ans, err := c.Call(bounded(t), slowLink(t, addr), &mesh.CallHead{ID: "1", Body: make([]byte, longBody)})
	is.NoErr(err)
	is.Equal(len(ans.Body), longBody)
}

// Guards against an urgent call that waits behind a long body on the way to the same
// peer.
func TestShortCallPassesALongBody(t *testing.T) {
	is := is.New(t)
	uploaded := make(chan struct{})
	_, addr := serve(t, func(ctx context.Context, from mesh.Hello, call *mesh.CallHead) *mesh.Answer {
		if len(call.Body) > 0 {
			close(uploaded)
		}
		return echo(ctx, from, call)
	})
	addr = slowLink(t, addr)
	c := client(t, mesh.ClientOptions{})
	_, err := c.Call(bounded(t), addr, &mesh.CallHead{ID: "warm"})
	is.NoErr(err)
	end := make(chan error, 1)
	go func() {
		_, err := c.Call(bounded(t), addr, &mesh.CallHead{ID: "upload", Body: make([]byte, 16*longBody)})
		end <- err
	}()
	time.Sleep(50 * time.Millisecond) // the body is on its way
	_, err = c.Call(bounded(t), addr, &mesh.CallHead{ID: "urgent"})
	is.NoErr(err)
	select {
	case <-uploaded:
		t.Fatal("the urgent call waited for the upload")
	default:
	}
	c.Close()
	<-end
}
