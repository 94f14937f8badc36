package agent_test

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"trefoilthread/core/admit"
	"trefoilthread/core/beat"
	"trefoilthread/core/relay"
	"trefoilthread/io/agent"
	"trefoilthread/io/logs"
	"trefoilthread/io/mesh"
)

// Guards against a gate that lets calls of agents that don't know of a drain reach the target,
// or keeps calls waiting that came before it; and against a gauge that doesn't show drains.
func TestGateOfDrainedDataCentre(t *testing.T) {
	is := is.New(t)
	scope := tally.NewTestScope("", nil)
	wire := flakyWire()
	wire.DrainPrefix = "drains/"
	a := agent.New(agent.Options{
		Settings: agent.Settings{Node: "self", DataCentre: "kl", Mesh: "10.0.0.1:7000"}, Wire: wire,
		Log: logs.Discard(), Clock: clockwork.NewRealClock(), Scope: scope,
	})
	agent.AnnounceTarget(a, beat.Announcement{
		ID: "t1", Born: 1, Service: "bookings", Address: troubledTarget(t, "", true), Slots: 1,
	})
	drain := func(dc string, rev int64, deleted bool) float64 {
		agent.ApplyItems(a, []relay.Item{{Key: "drains/" + dc, Revision: rev, Deleted: deleted}})
		return scope.Snapshot().Gauges()["drained_data_centres+"].Value()
	}
	results := make(chan *mesh.Answer, 2)
	ctx, cancel := context.WithCancel(t.Context())
	serve := func() {
		results <- agent.Serve(ctx, a, &mesh.CallHead{
			ID: "a", Service: "bookings", Target: "t1", Method: "GET", Path: "/", RemainingMs: 60_000, GoalMs: 50_000, Worth: 1,
		})
	}
	for _, want := range []int{1, 2} { // one runs, one waits
		go serve()
		for end := time.Now().Add(patience); agent.CallsAtTarget(a) < want; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("fewer than %d calls at the target", want)
			}
		}
	}
	is.Equal(drain("jb", 5, false), 1.0)
	is.Equal(agent.CallsAtTarget(a), 2)
	is.Equal(drain("kl", 6, false), 2.0)
	ans := <-results
	is.Equal(ans.Result, mesh.Refused)
	is.Equal(ans.Reason, admit.ReasonDrained)
	is.Equal(agent.CallsAtTarget(a), 1) // the running call goes on
	serve()
	ans = <-results
	is.Equal(ans.Reason, admit.ReasonDrained)
	is.True(!ans.Load.Draining) // callers would leave the target out for 30 s after the drain
	is.Equal(scope.Snapshot().Counters()["calls_refused_drained+"].Value(), int64(2))
	is.Equal(drain("kl", 7, true), 1.0)
	cancel()
	is.Equal((<-results).Result, mesh.Expired)
	serve()
	is.True((<-results).Reason != admit.ReasonDrained)
}
