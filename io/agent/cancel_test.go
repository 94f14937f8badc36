package agent_test

import (
	"context"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"trefoilthread/core/beat"
	"trefoilthread/core/types"
	"trefoilthread/io/agent"
	"trefoilthread/io/logs"
	"trefoilthread/io/mesh"
)

// Guards against the loser of a hedge that keeps its place in the queue of its gate, or works
// on at its target, after its caller has canceled it.
func TestCanceledCallsEndAtGateAndTarget(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = ln.Close() }()
	closed := make(chan struct{})
	go func() {
		if c, err := ln.Accept(); err == nil {
			_, _ = io.Copy(io.Discard, c) // until the agent closes the connection
			close(closed)
			_ = c.Close()
		}
	}()
	a := agent.New(agent.Options{
		Settings: agent.Settings{Node: "self", DataCentre: "kl", Mesh: "10.0.0.1:7000"}, Wire: flakyWire(),
		Log: logs.Discard(), Clock: clockwork.NewRealClock(), Scope: tally.NoopScope,
	})
	agent.AnnounceTarget(a, beat.Announcement{ID: "t1", Born: 1, Sequence: 1, Service: "bookings", Slots: 1, Address: ln.Addr().String()})
	ctx, cancel := context.WithCancel(t.Context())
	var calls sync.WaitGroup
	for _, id := range []string{"running", "waiting"} {
		calls.Go(func() {
			agent.Serve(ctx, a, &mesh.CallHead{
				ID: id, Service: "bookings", Target: "t1", Method: "GET", Path: "/", Worth: 1,
				RemainingMs: patience.Milliseconds(), GoalMs: patience.Milliseconds(),
			})
		})
	}
	for end := time.Now().Add(patience); agent.CallsAtTarget(a) < 2 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	is.Equal(agent.CallsAtTarget(a), 2)
	cancel()
	calls.Wait()
	<-closed
	is.True(agent.IsTargetIdle(a))
}

// Guards against the loser of a hedge at the agent's own target that counts as one whose target
// was too slow for the deadline.
func TestCanceledCallOfTheOwnTarget(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	ans := &mesh.Answer{Result: mesh.Expired}
	is.Equal(agent.RouteResult(ctx, ans, nil, time.Second).Outcome, types.DeadlineExceeded)
	cancel()
	is.Equal(agent.RouteResult(ctx, ans, nil, time.Second).Outcome, types.Canceled)
}
