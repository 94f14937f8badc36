package agent_test

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"trefoilthread/core/beat"
	"trefoilthread/core/relay"
	"trefoilthread/core/types"
	"trefoilthread/io/agent"
	"trefoilthread/io/httpw"
	"trefoilthread/io/logs"
	"trefoilthread/io/mesh"
	"trefoilthread/io/tokens"
)

// explained is an agent with a customer, whose own target is the only one unless isRemote.
type explained struct {
	*agent.Agent
	clock *clockwork.FakeClock
	scope tally.TestScope
}

func newExplained(perSecond float64, isRemote bool) explained {
	x := explained{clock: clockwork.NewFakeClock(), scope: tally.NewTestScope("", nil)}
	w := flakyWire()
	w.DrainPrefix = "drains/"
	w.WithoutKey = func(hdr httpw.Header) httpw.Header {
		return hdr.Without(func(name string) bool { return strings.EqualFold(name, "Key") })
	}
	w.Refusal = func(reason string, _ time.Duration) *httpw.Response {
		return &httpw.Response{Status: 503, Reason: reason}
	}
	x.Agent = agent.New(agent.Options{
		Settings: agent.Settings{Node: "self", DataCentre: "kl", Mesh: "10.0.0.1:7000", KeyRevocation: 5 * time.Second,
			Link: 10, Regions: map[types.DataCentre]string{"kl": "my"}},
		Wire: w, Log: logs.Discard(), Clock: x.clock, Scope: x.scope,
	})
	agent.SetTable(x.Agent, quotaTable(1, perSecond))
	agent.LearnStore(x.Agent)
	if isRemote {
		key, value := encodedRecord("n2", "bookings")
		agent.ApplyItems(x.Agent, []relay.Item{{Key: key, Value: value, Revision: 1}})
	} else {
		agent.AnnounceTarget(x.Agent, beat.Announcement{ID: "t1", Born: 1, Service: "bookings", Address: "10.0.0.1:80", Slots: 4})
	}
	return x
}

// own makes the agent the owner of its customer's quota.
func (x explained) own() {
	q := agent.QuotasOf(x.Agent)
	q.SetRecord("self", "kl")
	for range 40 {
		agent.LearnStore(x.Agent)
		q.Check()
		x.clock.Advance(200 * time.Millisecond)
	}
	agent.LearnStore(x.Agent)
}

// Guards against an explanation that differs from what the request would meet.
func TestExplain(t *testing.T) {
	acme := agent.ExplainRequest{Path: "/x", Customer: "acme", Headers: []agent.ExplainHeader{{Name: "Id", Value: "r1"}}}
	long := acme
	long.BodyBytes = 60_000
	for name, c := range map[string]struct {
		isRemote bool
		change   func(x explained)
		request  agent.ExplainRequest
		want     string // in the JSON
	}{
		"runs":        {false, explained.own, acme, `"target":"t1","dataCentre":"kl","scoreMs":1.25,"gate":{"verdict":"run"}`},
		"chosen":      {false, explained.own, acme, `"chosen":true,"target":"t1","bodyOffered":false`},
		"offered":     {true, explained.own, long, `"target":"t-n2","bodyOffered":true`},
		"short body":  {true, explained.own, acme, `"target":"t-n2","bodyOffered":false`},
		"own target":  {false, explained.own, long, `"target":"t1","bodyOffered":false`},
		"no key":      {false, explained.own, agent.ExplainRequest{Path: "/x"}, `"refusal":{"status":401,"reason":"no API key, or more than one"}`},
		"no id":       {false, explained.own, agent.ExplainRequest{Path: "/x", Customer: "acme"}, `"gate":{"verdict":"run"}`},
		"stale":       {false, func(x explained) { x.own(); x.clock.Advance(5 * time.Second) }, acme, `"keysServed":false`},
		"stale key":   {false, func(x explained) { x.own(); x.clock.Advance(5 * time.Second) }, acme, `{"status":503,"reason":"configuration not known well enough for API keys"}`},
		"no owner":    {false, func(explained) {}, acme, `"refusal":{"status":503,"reason":"quota of the customer unknown"}`},
		"over quota":  {false, func(x explained) { x.own(); x.exhaust(t) }, acme, `"usedUp":true},`},
		"over, told":  {false, func(x explained) { x.own(); x.exhaust(t) }, acme, `"refusal":{"status":429,"reason":"over the customer's quota"}`},
		"drained":     {false, func(x explained) { x.own(); x.drain() }, acme, `"refusal":{"status":503,"reason":"all data centres of the service are drained"}`},
		"drained, by": {false, func(x explained) { x.own(); x.drain() }, acme, `"target":"t1","dataCentre":"kl","scoreMs":0,"excluded":"data centre is drained"`},
		"draining": {false, func(x explained) {
			x.own()
			agent.AnnounceTarget(x.Agent, beat.Announcement{ID: "t1", Born: 1, Sequence: 1, Service: "bookings", Address: "10.0.0.1:80", Slots: 4, Draining: true})
		}, acme, `"excluded":"draining","gate":{"verdict":"refuse","reason":"target is leaving"}}],"refusal":{"status":503,"reason":"no target known"}`},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			x := newExplained(100, c.isRemote)
			c.change(x)
			out, _, reason := agent.Explain(x.Agent, &c.request)
			is.Equal(reason, "")
			data, err := json.Marshal(out)
			is.NoErr(err)
			if !strings.Contains(string(data), c.want) {
				t.Fatalf("no %s in %s", c.want, data)
			}
		})
	}
}

// exhaust uses up the quota of the customer.
func (x explained) exhaust(t *testing.T) {
	q := agent.QuotasOf(x.Agent)
	q.Serve(mesh.Hello{}, &mesh.TokenRequest{Customer: "acme", Count: 999})
	c, _ := quotaTable(1, 100).Customer("acme")
	q.Take(t.Context(), c)
}

func (x explained) drain() {
	agent.ApplyItems(x.Agent, []relay.Item{{Key: "drains/kl", Revision: 9}})
}

// Guards against an explanation that takes a token or counts as a request, or that accepts a
// key.
func TestExplainTakesNothing(t *testing.T) {
	is := is.New(t)
	x := newExplained(10, false)
	x.own()
	c, _ := quotaTable(1, 10).Customer("acme")
	take := func() (n int) {
		for agent.QuotasOf(x.Agent).Take(t.Context(), c).Result() == tokens.Within {
			n++
		}
		return n
	}
	want := take()
	is.True(want > 0)
	x.own()                                                                      // tokens of the same time
	agent.QuotasOf(x.Agent).Return(agent.QuotasOf(x.Agent).Take(t.Context(), c)) // a token is here
	counted := func() (n int64) {
		for _, c := range x.scope.Snapshot().Counters() {
			n += c.Value()
		}
		return n
	}
	before := counted()
	for range 50 {
		out, _, _ := agent.Explain(x.Agent, &agent.ExplainRequest{Path: "/x", Customer: "acme"})
		is.True(out.Refusal == nil)
	}
	is.Equal(counted(), before)
	is.Equal(agent.CallsAtTarget(x.Agent), 0)
	is.Equal(take(), want)
	_, status, reason := agent.Explain(x.Agent, &agent.ExplainRequest{Path: "/x", Headers: []agent.ExplainHeader{{Name: "kEY", Value: "k1"}}})
	is.Equal(status, http.StatusBadRequest)
	is.True(!strings.Contains(reason, "k1"))
}
