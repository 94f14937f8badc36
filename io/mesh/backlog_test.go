package mesh_test

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"trefoilthread/io/mesh"
)

// heldLink returns an address whose connections lead to addr, and passes on what comes back
// from there only once release is closed.
func heldLink(t *testing.T, addr string, release <-chan struct{}) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
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
			go func() {
				_, _ = io.Copy(far, near)
				_ = far.Close()
			}()
			go func() {
				<-release
				_, _ = io.Copy(near, far)
				_ = near.Close()
			}()
		}
	}()
	return ln.Addr().String()
}

// Guards against calls that wait until their deadline because their answers were dropped:
// the connection has more to carry than it may hold.
func TestAnswersBeyondTheBacklog(t *testing.T) {
	const (
		calls  = 8
		answer = 6 << 20
	)
	is := is.New(t)
	var served atomic.Int64
	_, addr := serve(t, func(_ context.Context, _ mesh.Hello, call *mesh.CallHead) *mesh.Answer {
		defer served.Add(1)
		if call.ID == "refused" {
			return &mesh.Answer{Result: mesh.Refused, Reason: "full"}
		}
		return &mesh.Answer{Status: 200, Body: make([]byte, answer), Load: mesh.Load{InFlight: 3}}
	})
	release := make(chan struct{})
	c := client(t, mesh.ClientOptions{Silence: time.Minute})
	addr = heldLink(t, addr, release)
	results := make(chan *mesh.Answer, calls+1)
	call := func(id string) {
		ans, err := c.Call(bounded(t), addr, &mesh.CallHead{ID: id})
		if err != nil {
			t.Errorf("call %s: %v", id, err)
		}
		results <- ans
	}
	await := func(n int64) {
		for end := time.Now().Add(patience); served.Load() < n && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(50 * time.Millisecond) // the answers are queued
	}
	for range calls {
		go call("long")
	}
	await(calls)
	go call("refused") // a short answer is sent though the connection is full
	await(calls + 1)
	close(release)
	counts := make(map[mesh.Result]int)
	for range calls + 1 {
		if ans := <-results; ans != nil {
			counts[ans.Result]++
			is.True(ans.Result == mesh.Answered && len(ans.Body) == answer || len(ans.Body) == 0)
			is.True(ans.Result == mesh.Refused || ans.Load.InFlight == 3)
		}
	}
	is.True(counts[mesh.Answered] > 0)
	is.True(counts[mesh.Broken] > 0) // may have run
	is.Equal(counts[mesh.Refused], 1)
}
