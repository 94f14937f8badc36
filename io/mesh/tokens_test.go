package mesh_test

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"trefoilthread/io/mesh"
)

const (
	wireTokenRequest = 11
	wireTokens       = 12
)

// grantHalf grants half of the tokens that are asked for.
func grantHalf(_ mesh.Hello, r *mesh.TokenRequest) *mesh.Tokens {
	return &mesh.Tokens{Entitled: true, Count: r.Count / 2, WaitUs: int64(len(r.Customer)) * 1000}
}

// Guards against requests for tokens that change on their way, and against one that can't be
// decoded, or that nobody serves, and that its sender waits for.
func TestTokenRequestsAreAnswered(t *testing.T) {
	is := is.New(t)
	_, addr := serveWith(t, mesh.ServerOptions{Tokens: grantHalf})
	got, err := client(t, mesh.ClientOptions{}).RequestTokens(bounded(t), addr, &mesh.TokenRequest{Customer: "acme", Count: 6})
	is.NoErr(err)
	is.Equal(*got, mesh.Tokens{Entitled: true, Count: 3, WaitUs: 4000})
	is.Equal(got.Wait(), 4*time.Millisecond)

	_, unserved := serveWith(t, mesh.ServerOptions{})
	for at, payload := range map[string][]byte{addr: garbage, unserved: {0xa0}} {
		nc := open(t, at, wireOf(t, wireHello, 0, map[int]any{1: "old"}))
		write(t, nc, wire(wireTokenRequest, 8, payload))
		kind, call, answer, err := receiveNumbered(nc)
		is.NoErr(err)
		is.Equal(kind, byte(wireTokens))
		is.Equal(call, uint64(8))
		var tokens mesh.Tokens
		is.NoErr(cbor.Unmarshal(answer, &tokens))
		is.Equal(tokens, mesh.Tokens{})
	}
}

// Guards against a daemon that doesn't know the message, and skips it, for which the asking
// one waits longer than it wants, or whose connection it gives up.
func TestOldDaemonGrantsNoTokens(t *testing.T) {
	is := is.New(t)
	connections := make(chan struct{}, 9)
	addr := accept(t, func(nc net.Conn) {
		connections <- struct{}{}
		for {
			kind, call, _, err := receiveNumbered(nc)
			if err != nil {
				return
			}
			if kind == wireCall {
				_, _ = nc.Write(wireOf(t, wireAnswer, call, map[int]any{5: 200})) // an error shows in the call
			}
		}
	})
	c := client(t, mesh.ClientOptions{})
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := c.RequestTokens(ctx, addr, &mesh.TokenRequest{Customer: "acme", Count: 1})
	is.True(errors.Is(err, context.DeadlineExceeded))
	ans, err := c.Call(bounded(t), addr, &mesh.CallHead{ID: "r1"})
	is.NoErr(err)
	is.Equal(ans.Status, 200)
	is.Equal(len(connections), 1)
}

// BenchmarkCapacityTokens gives the processor time of a request for tokens on both sides
// together, and BenchmarkCapacityExchange that of a small call.
func BenchmarkCapacityTokens(b *testing.B) {
	addr := benchServer(b, mesh.ServerOptions{Tokens: grantHalf})
	c := benchClient(b)
	const fast = 2000
	for b.Loop() {
		cpu := cpuTime()
		for range fast {
			if _, err := c.RequestTokens(b.Context(), addr, &mesh.TokenRequest{Customer: "counter-desk", Count: 2}); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64((cpuTime()-cpu).Microseconds())/fast, "cpu-us/ask")
		b.ReportMetric(0, "ns/op")
	}
}
