package agent_test

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"trefoilthread/core/relay"
	"trefoilthread/core/types"
	"trefoilthread/core/vhost"
	"trefoilthread/io/agent"
	"trefoilthread/io/httpw"
	"trefoilthread/io/logs"
	"trefoilthread/io/mesh"
	"trefoilthread/io/tokens"
)

// quotaTable returns a configuration with a customer, none if perSecond is negative.
func quotaTable(version int64, perSecond float64) *vhost.Table {
	s := vhost.TableSpec{
		Version: version, Services: []vhost.ServiceSpec{{Name: "bookings"}},
		Bounds: vhost.Bounds{HeaderBytes: 4096, BodyBytes: 4096, HeaderTimeout: patience, IdleTimeout: patience},
		Hosts: map[string][]vhost.RouteSpec{"": {{
			Name: "book", Prefix: "/", Attempts: 1, Timeout: patience, Goal: patience,
			Services: []vhost.WeightedService{{Service: "bookings", Weight: 1}},
		}}},
	}
	if perSecond >= 0 {
		s.Customers = []vhost.CustomerSpec{{Name: "acme", Keys: []string{"k1"}, PerSecond: perSecond}}
	}
	t, err := vhost.New(s)
	if err != nil {
		panic(err)
	}
	return t
}

// Guards against a refused request that reaches a target, and against the wrong promise to
// its caller: 429 only if the quota is known to be used up.
func TestRefusedForTheQuota(t *testing.T) {
	for name, want := range map[string]struct {
		perSecond float64
		drain     bool
		status    string
	}{
		"over the quota":     {100, true, "429"},
		"no owner":           {100, false, "503"},
		"customer unlimited": {0, false, "503 no target known"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			clock := clockwork.NewFakeClock()
			w := flakyWire()
			refuse := func(status int) func(string, time.Duration) *httpw.Response {
				return func(reason string, retry time.Duration) *httpw.Response {
					is.True(retry > 0)
					return &httpw.Response{Status: status, Reason: reason}
				}
			}
			w.Refusal, w.TooMany = refuse(503), refuse(429)
			w.WithoutKey = func(hdr httpw.Header) httpw.Header { return hdr }
			w.ReadRequestInfo = func(*httpw.Request) (agent.RequestInfo, bool) { return agent.RequestInfo{ID: "r1", Key: "k1"}, true }
			a := agent.New(agent.Options{
				Settings: agent.Settings{Node: "self", DataCentre: "kl", Mesh: "10.0.0.1:7000", Regions: map[types.DataCentre]string{"kl": "my"}},
				Wire:     w, Log: logs.Discard(), Clock: clock, Scope: tally.NoopScope,
			})
			agent.SetTable(a, quotaTable(1, want.perSecond))
			if want.drain {
				q := agent.QuotasOf(a)
				q.SetRecord("self", "kl")
				for range 40 {
					agent.LearnStore(a)
					q.Check()
					clock.Advance(200 * time.Millisecond)
				}
				agent.LearnStore(a)
				q.Serve(mesh.Hello{}, &mesh.TokenRequest{Customer: "acme", Count: 99})
			}
			ln, err := net.Listen("tcp4", "127.0.0.1:0")
			is.NoErr(err)
			defer func() { _ = ln.Close() }()
			go func() { _ = agent.ServeCallers(a, ln) }()
			nc, err := net.Dial("tcp4", ln.Addr().String())
			is.NoErr(err)
			defer func() { _ = nc.Close() }()
			_, err = fmt.Fprint(nc, "GET /x HTTP/1.1\r\nHost: \r\nId: r1\r\n\r\n")
			is.NoErr(err)
			is.NoErr(nc.SetReadDeadline(time.Now().Add(patience)))
			line, err := bufio.NewReader(nc).ReadString('\n')
			is.NoErr(err)
			is.True(strings.HasPrefix(line, "HTTP/1.1 "+want.status))
		})
	}
}

// Guards against agents that don't learn from the store who owns a customer, or don't ask it
// over the mesh.
func TestTokensComeOverTheMesh(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = ln.Close() }()
	node := func(name, addr string, perSecond float64) *agent.Agent {
		a := agent.New(agent.Options{
			Settings: agent.Settings{Node: name, DataCentre: "kl", Mesh: addr, Regions: map[types.DataCentre]string{"kl": "my"}},
			Log:      logs.Discard(), Clock: clockwork.NewRealClock(), Scope: tally.NoopScope,
		})
		agent.SetTable(a, quotaTable(1, perSecond))
		agent.ApplyItems(a, []relay.Item{recordAt("owner", ln.Addr().String())})
		return a
	}
	owner := node("owner", ln.Addr().String(), 0) // without a quota it grants at once
	go func() { _ = agent.ServeMesh(owner, ln) }()
	c, _ := quotaTable(1, 100).Customer("acme")
	q := agent.QuotasOf(node("asker", "10.0.0.1:7000", 100))
	for end := time.Now().Add(patience); q.Take(t.Context(), c).Result() != tokens.Within; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("no tokens")
		}
	}
}

// Guards against two owners of a customer: an agent whose record became invalid is unknown to
// agents that start later, so the others must not count it as an owner any longer, nor itself.
func TestAgentWithAnInvalidRecordOwnsNothing(t *testing.T) {
	for _, node := range []string{"self", "other"} {
		t.Run(node, func(t *testing.T) {
			is := is.New(t)
			a := agent.New(agent.Options{
				Settings: agent.Settings{Node: "self", DataCentre: "kl", Mesh: "10.0.0.1:7000", Regions: map[types.DataCentre]string{"kl": "my"}},
				Log:      logs.Discard(), Clock: clockwork.NewFakeClock(), Scope: tally.NoopScope,
			})
			owners := func() []string { return agent.QuotasOf(a).Owners("acme") }
			record := recordAt(node, "10.0.0.2:7000")
			agent.ApplyItems(a, []relay.Item{record})
			is.Equal(owners(), []string{node})
			agent.ApplyItems(a, []relay.Item{{Key: record.Key, Value: []byte("?"), Revision: 2}})
			is.Equal(len(owners()), 0)
			record.Revision = 3
			agent.ApplyItems(a, []relay.Item{record})
			is.Equal(owners(), []string{node})
		})
	}
}
