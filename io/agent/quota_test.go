package agent_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"trefoilthread/core/quota"
	"trefoilthread/core/relay"
	"trefoilthread/core/types"
	"trefoilthread/core/vhost"
	"trefoilthread/io/agent"
	"trefoilthread/io/httpw"
	"trefoilthread/io/logs"
	"trefoilthread/io/mesh"
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

// quotaPair is an owner of a customer and an agent that asks it.
type quotaPair struct {
	clock        *clockwork.FakeClock
	owner, asker *agent.Quotas
	customer     *vhost.Customer
	table        atomic.Pointer[vhost.Table]
	age          atomic.Int64 // of the knowledge of both
	asks         atomic.Int64
	ask          agent.AskFunc // replaces the owner if it is set
	scope        tally.TestScope
}

func newQuotaPair() *quotaPair {
	p := &quotaPair{clock: clockwork.NewFakeClock(), scope: tally.NewTestScope("", nil)}
	p.table.Store(quotaTable(1, 100))
	p.customer, _ = p.table.Load().Customer("acme")
	age := func() time.Duration { return time.Duration(p.age.Load()) }
	p.owner = agent.NewQuotas("owner", p.clock, tally.NoopScope, p.table.Load, age, nil)
	p.asker = agent.NewQuotas("asker", p.clock, p.scope, p.table.Load, age, func(ctx context.Context, node string, r *mesh.TokenRequest) (*mesh.Tokens, error) {
		p.asks.Add(1)
		if p.ask != nil {
			return p.ask(ctx, node, r)
		}
		return p.owner.ServeTokens(r), nil
	})
	p.owner.SetRecord("owner")
	p.asker.SetRecord("owner")
	p.pass(6 * time.Second)
	return p
}

// pass lets a time pass.
func (p *quotaPair) pass(d time.Duration) {
	for ; d > 0; d -= 200 * time.Millisecond {
		p.owner.Check()
		p.clock.Advance(min(d, 200*time.Millisecond))
		p.owner.Check()
	}
}

// take takes tokens for n requests and returns the number that are within the quota.
func (p *quotaPair) take(ctx context.Context, n int) (within int) {
	for range n {
		if p.asker.Take(ctx, p.customer).Result() == agent.WithinQuota {
			within++
		}
	}
	return within
}

// Guards against requests that run without a token, against owners that are asked in vain,
// and against a refusal for the quota when nothing is known of it.
func TestFailuresOfOwners(t *testing.T) {
	fail := func(context.Context, string, *mesh.TokenRequest) (*mesh.Tokens, error) {
		return nil, errors.Wrap(mesh.ErrUnreachable, "no route")
	}
	silent := func(ctx context.Context, _ string, _ *mesh.TokenRequest) (*mesh.Tokens, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	grantLess := func(context.Context, string, *mesh.TokenRequest) (*mesh.Tokens, error) {
		return &mesh.Tokens{Entitled: true, Count: -3, WaitUs: -1}, nil
	}
	for name, row := range map[string]struct {
		prepare func(p *quotaPair)
		result  any
		asks    int64
		retryIn time.Duration // then an owner is asked again
	}{
		"owner grants":           {func(*quotaPair) {}, agent.WithinQuota, 1, 0},
		"owner unreachable":      {func(p *quotaPair) { p.ask = fail }, agent.NoQuotaOwner, 1, 500 * time.Millisecond},
		"owner silent, or older": {func(p *quotaPair) { p.ask = silent }, agent.NoQuotaOwner, 1, 500 * time.Millisecond},
		"owner has lost the store": {func(p *quotaPair) {
			p.age.Store(int64(5 * time.Second))
		}, agent.NoQuotaOwner, 1, quota.MaxHint},
		"owner out of tokens": {func(p *quotaPair) {
			p.owner.ServeTokens(&mesh.TokenRequest{Customer: "acme", Count: 99})
		}, agent.OverQuota, 1, quota.MaxHint},
		"customer removed at the owner": {func(p *quotaPair) {
			p.table.Store(quotaTable(2, -1))
		}, agent.NoQuotaOwner, 1, quota.MaxHint},
		"spoiled answer": {func(p *quotaPair) { p.ask = grantLess }, agent.OverQuota, 1, quota.MaxHint},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := newQuotaPair()
			row.prepare(p)
			ctx, cancel := context.WithTimeout(t.Context(), patience)
			defer cancel()
			is.Equal(p.asker.Take(ctx, p.customer).Result(), row.result)
			is.Equal(p.asks.Load(), row.asks)
			if row.retryIn == 0 {
				return
			}
			is.Equal(p.asker.Take(ctx, p.customer).Result(), row.result) // without a message
			is.Equal(p.asks.Load(), row.asks)
			p.clock.Advance(row.retryIn)
			p.asker.Take(ctx, p.customer)
			is.Equal(p.asks.Load(), row.asks+1)
		})
	}
}

// Guards against a message for each of the requests that come together, and against one for
// the owner on the same VM.
func TestRequestsShareAnAsk(t *testing.T) {
	is := is.New(t)
	p := newQuotaPair()
	came := make(chan struct{})
	p.ask = func(_ context.Context, _ string, r *mesh.TokenRequest) (*mesh.Tokens, error) {
		<-came // the others wait by then
		return p.owner.ServeTokens(r), nil
	}
	var within atomic.Int64
	var all sync.WaitGroup
	for range 8 {
		all.Go(func() { within.Add(int64(p.take(t.Context(), 1))) })
	}
	for end := time.Now().Add(patience); p.asker.Waiting() < 8; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("requests don't wait together")
		}
	}
	close(came)
	all.Wait()
	is.Equal(within.Load(), int64(8))
	is.True(p.asks.Load() <= 2)
	is.Equal(p.scope.Snapshot().Counters()["quota_granted+"].Value(), int64(8))
	is.Equal(p.scope.Snapshot().Counters()["quota_asks+"].Value(), p.asks.Load())

	p.pass(time.Second)
	is.Equal(p.owner.Take(t.Context(), p.customer).Result(), agent.WithinQuota) // it has no one to ask
}

// Guards against a token that is lost with a request that no target got, or that is used
// after its time.
func TestTokensAreGivenBack(t *testing.T) {
	is := is.New(t)
	p := newQuotaPair()
	v := p.asker.Take(t.Context(), p.customer)
	p.asker.GiveBack(v)
	is.Equal(p.take(t.Context(), 1), 1)
	is.Equal(p.asks.Load(), int64(1))
	p.asker.GiveBack(v)
	p.pass(time.Second)
	is.Equal(p.take(t.Context(), 1), 1)
	is.Equal(p.asks.Load(), int64(2))
}

// Guards against a lowered quota that holds only after the tokens of the earlier one are used.
func TestLoweredQuotaHoldsAtOnce(t *testing.T) {
	is := is.New(t)
	p := newQuotaPair()
	p.table.Store(quotaTable(2, 0.5))
	is.Equal(p.take(t.Context(), 30), 10) // the smallest size of a bucket
	p.table.Store(quotaTable(3, 0))
	is.Equal(p.owner.ServeTokens(&mesh.TokenRequest{Customer: "acme", Count: 30}).Count, 30) // no quota any more
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
				agent.SetKnowledgeAge(a, 0)
				q := agent.QuotasOf(a)
				q.SetRecord("self")
				for range 40 {
					q.Check()
					clock.Advance(200 * time.Millisecond)
				}
				q.ServeTokens(&mesh.TokenRequest{Customer: "acme", Count: 99})
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

// BenchmarkAsk gives the cost of a request whose token needs a message, both sides together
// without the network, and of one whose owner is on the same VM.
func BenchmarkAsk(b *testing.B) {
	p := newQuotaPair()
	for name, q := range map[string]*agent.Quotas{"other": p.asker, "same": p.owner} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				p.clock.Advance(20 * time.Millisecond)
				if q.Take(b.Context(), p.customer).Result() != agent.WithinQuota {
					b.Fatal("refused")
				}
			}
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
		agent.ApplyItems(a, []relay.Item{agent.RecordAt("owner", ln.Addr().String())})
		return a
	}
	owner := node("owner", ln.Addr().String(), 0) // without a quota it grants at once
	go func() { _ = agent.ServeMesh(owner, ln) }()
	c, _ := quotaTable(1, 100).Customer("acme")
	q := agent.QuotasOf(node("asker", "10.0.0.1:7000", 100))
	for end := time.Now().Add(patience); q.Take(t.Context(), c).Result() != agent.WithinQuota; time.Sleep(10 * time.Millisecond) {
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
			record := agent.RecordAt(node, "10.0.0.2:7000")
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
