package agent_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"trefoilthread/core/relay"
	"trefoilthread/core/types"
	"trefoilthread/core/vhost"
	"trefoilthread/io/agent"
	"trefoilthread/io/logs"
	"trefoilthread/io/mesh"
)

// Guards against a hedge of a request that may run once, without a share or during a stop,
// against a loser that isn't canceled, and against an effect that the metrics don't show. The
// first target doesn't answer until it is canceled or, if no hedge is due, for a while.
func TestHedges(t *testing.T) {
	for name, c := range map[string]struct {
		share    float64
		runs     types.Runs
		stopping bool
		held     string
		sent     bool
	}{
		"idempotent":   {share: 0.1, sent: true},
		"at most once": {share: 0.1, runs: types.AtMostOnce},
		"off":          {},
		"stopping":     {share: 0.1, stopping: true, held: "stop"},
		"no share":     {share: 0.01, held: "share"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			table, err := vhost.New(vhost.TableSpec{
				Version: 1, Services: []vhost.ServiceSpec{{Name: "bookings"}},
				Hosts: map[string][]vhost.RouteSpec{"a": {{
					Name: "all", Prefix: "/", Runs: c.runs, Attempts: 2, Timeout: patience, Goal: patience,
					Services: []vhost.WeightedService{{Service: "bookings", Weight: 1}},
				}}},
			})
			is.NoErr(err)
			r, _ := table.Lookup("a", "/")
			scope := tally.NewTestScope("", nil)
			a := agent.New(agent.Options{
				Settings: agent.Settings{
					Node: "self", DataCentre: "kl", Mesh: "10.0.0.1:7000", HedgeShare: c.share,
					RetryShare: 1, RetryExtra: 100, RetryWindow: 10 * time.Second,
				},
				Wire: flakyWire(), Log: logs.Discard(), Clock: clockwork.NewRealClock(), Scope: scope,
			})
			var items []relay.Item
			for i := range 3 {
				key, value := encodedRecord(fmt.Sprintf("n%d", i), "bookings")
				items = append(items, relay.Item{Key: key, Value: value, Revision: int64(i + 1)})
			}
			agent.ApplyItems(a, items)
			first, canceled := make(chan struct{}, 1), make(chan struct{})
			first <- struct{}{}
			status := agent.Dispatch(a, r, c.stopping, func(ctx context.Context, _ string) (*mesh.Answer, error) {
				select {
				case <-first:
				default:
					return &mesh.Answer{Status: 200}, nil
				}
				timeout := patience
				if !c.sent {
					timeout = 100 * time.Millisecond
				}
				select {
				case <-ctx.Done():
					close(canceled)
					return nil, ctx.Err()
				case <-time.After(timeout):
					return &mesh.Answer{Status: 201}, nil
				}
			})
			counts := make(map[string]int64)
			for _, counter := range scope.Snapshot().Counters() {
				if v := counter.Value(); v > 0 {
					counts[counter.Name()+counter.Tags()["reason"]] = v
				}
			}
			want := make(map[string]int64)
			switch {
			case c.sent:
				<-canceled
				is.Equal(status, 200)
				want = map[string]int64{"hedges_sent": 1, "hedges_won": 1, "hedges_canceled": 1}
			case c.held != "":
				want["hedges_held"+c.held] = 1
				fallthrough
			default:
				is.Equal(status, 201)
			}
			is.Equal(counts, want)
		})
	}
}
