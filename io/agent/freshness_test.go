package agent_test

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"trefoilthread/core/beat"
	"trefoilthread/core/relay"
	"trefoilthread/core/vhost"
	"trefoilthread/io/agent"
	"trefoilthread/io/logs"
	"trefoilthread/io/mesh"
	"trefoilthread/io/store"
)

// Guards against a removed key that is accepted because the knowledge of the store is recent,
// while the configuration that it shows is still to be read, and against an invalid
// configuration that counts as one to be read.
func TestConfigurationToBeReadIsNotKnown(t *testing.T) {
	const key = "config"
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	table, err := vhost.New(vhost.TableSpec{Version: 1})
	is.NoErr(err)
	a := agent.New(agent.Options{
		Settings: agent.Settings{Node: "self", KeyRevocation: 5 * time.Second}, Log: logs.Discard(), Clock: clock, Scope: tally.NoopScope,
		Wire: agent.Wire{TableKey: key, DecodeTable: func(value []byte) (*vhost.Table, error) {
			if string(value) == "invalid" {
				return nil, store.ErrConflict
			}
			return table, nil
		}},
	})
	is.True(!agent.MayAcceptKeys(a))
	agent.ApplyItems(a, []relay.Item{{Key: key, Revision: 1, Value: []byte("1")}})
	agent.LearnStore(a)
	is.True(agent.MayAcceptKeys(a))
	agent.ApplyItems(a, []relay.Item{{Key: key, Revision: 2, Omitted: true}})
	clock.Advance(4 * time.Second)
	agent.LearnStore(a)
	is.Equal(agent.KnowledgeAge(a), time.Duration(0))
	is.True(!agent.MayAcceptKeys(a))
	agent.ApplyItems(a, []relay.Item{{Key: key, Revision: 2, Value: []byte("invalid")}})
	is.True(agent.MayAcceptKeys(a))
	agent.ApplyItems(a, []relay.Item{{Key: key, Revision: 3, Omitted: true}})
	agent.ApplyItems(a, []relay.Item{{Key: key, Revision: 4, Deleted: true}})
	clock.Advance(4 * time.Second)
	agent.LearnStore(a)
	is.True(agent.MayAcceptKeys(a))
}

// Guards against a further attempt that starts after the time in which the request had to, as
// it is sent when that time is over.
func TestCallSentTooLateIsRefused(t *testing.T) {
	is := is.New(t)
	a := agent.New(agent.Options{
		Settings: agent.Settings{Node: "self", DataCentre: "kl", KeyRevocation: 5 * time.Second, TargetAddr: newFlakyTarget(t, 1).ln.Addr().String()},
		Wire:     flakyWire(), Log: logs.Discard(), Clock: clockwork.NewRealClock(), Scope: tally.NoopScope,
		Elapsed: func() time.Duration { return time.Minute }, // no time passes on the way
	})
	agent.AnnounceTarget(a, beat.Announcement{ID: "i-1", Service: "bookings", Slots: 4, Born: 1, Sequence: 1})
	agent.LearnStore(a)
	serve := func(sent time.Duration) mesh.Result {
		head := &mesh.CallHead{
			ID: "r", Service: "bookings", Target: "i-1", Method: "GET", Path: "/", RemainingMs: 5000, GoalMs: 5000, Worth: 1,
		}
		agent.AddCustomer(head, quotaTable(1, 0), 30*time.Second, sent)
		return agent.Serve(t.Context(), a, head).Result
	}
	is.True(serve(29*time.Second) != mesh.Refused)
	is.Equal(serve(30*time.Second), mesh.Refused)
	is.Equal(serve(31*time.Second), mesh.Refused)
}

// Guards against a call with a customer that starts although its agent doesn't know the
// configuration any more, or after the time in which it had to start, as it has waited.
func TestGateChecksKnowledge(t *testing.T) {
	is := is.New(t)
	var elapsed, step time.Duration
	a := agent.New(agent.Options{
		Settings: agent.Settings{Node: "self", DataCentre: "kl", KeyRevocation: 5 * time.Second, TargetAddr: newFlakyTarget(t, 1).ln.Addr().String()},
		Wire:     flakyWire(), Log: logs.Discard(), Clock: clockwork.NewRealClock(), Scope: tally.NoopScope,
		Elapsed: func() time.Duration { elapsed += step; return elapsed },
	})
	agent.AnnounceTarget(a, beat.Announcement{ID: "i-1", Service: "bookings", Slots: 4, Born: 1, Sequence: 1})
	serve := func(customer string, startMs int64) *mesh.Answer {
		return agent.Serve(t.Context(), a, &mesh.CallHead{
			ID: "r", Service: "bookings", Target: "i-1", Method: "GET", Path: "/", RemainingMs: 5000, GoalMs: 5000, Worth: 1,
			Customer: customer, StartMs: startMs,
		})
	}
	isStale := func(ans *mesh.Answer) bool { return ans.Result == mesh.Refused && ans.RetryMs == 300 && !ans.Reached }
	is.True(!isStale(serve("", 0)))
	is.True(isStale(serve("north", 0)))
	agent.LearnStore(a)
	is.True(!isStale(serve("north", 0)))
	step = 10 * time.Millisecond // each look at the clock
	is.True(!isStale(serve("north", 1000)))
	is.True(isStale(serve("north", 5)))
	elapsed += 4 * time.Second
	is.True(isStale(serve("north", 1000)))
	is.True(!isStale(serve("", 0)))
	is.True(agent.IsTargetIdle(a))
}
