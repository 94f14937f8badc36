package tokens_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"trefoilthread/core/quota"
	"trefoilthread/core/types"
	"trefoilthread/core/vhost"
	"trefoilthread/io/logs"
	"trefoilthread/io/mesh"
	"trefoilthread/io/tokens"
)

// patience bounds what a test waits for.
const patience = 20 * time.Second

// newTable returns a configuration with a customer, none if perSecond is negative.
func newTable(version int64, perSecond float64) *vhost.Table {
	s := vhost.TableSpec{Version: version}
	if perSecond >= 0 {
		s.Customers = []vhost.CustomerSpec{{Name: "acme", Keys: []string{"k1"}, PerSecond: perSecond}}
	}
	t, err := vhost.New(s)
	if err != nil {
		panic(err)
	}
	return t
}

// askFunc asks another agent for tokens.
type askFunc = func(ctx context.Context, node string, r *mesh.TokenRequest) (*mesh.Tokens, error)

// pair is an owner of a customer and an agent that asks it.
type pair struct {
	clock        *clockwork.FakeClock
	owner, asker *tokens.Quotas
	customer     *vhost.Customer
	table        atomic.Pointer[vhost.Table]
	age          atomic.Int64 // of the knowledge of both
	asks         atomic.Int64
	ask          askFunc // replaces the owner if it is set
	scope        tally.TestScope
}

func newPair() *pair {
	p := &pair{clock: clockwork.NewFakeClock(), scope: tally.NewTestScope("", nil)}
	p.table.Store(newTable(1, 100))
	p.customer, _ = p.table.Load().Customer("acme")
	start := func(self string, scope tally.Scope, ask askFunc) *tokens.Quotas {
		return tokens.New(tokens.Options{
			Self: self, DataCentre: "kl", Centres: []types.DataCentre{"kl"}, Clock: p.clock, Elapsed: p.clock.Now,
			Log: logs.Discard(), Scope: scope, Table: p.table.Load, Ask: ask,
			Age: func() time.Duration { return time.Duration(p.age.Load()) },
		})
	}
	p.owner = start("owner", tally.NoopScope, nil)
	p.asker = start("asker", p.scope, func(ctx context.Context, node string, r *mesh.TokenRequest) (*mesh.Tokens, error) {
		p.asks.Add(1)
		if p.ask != nil {
			return p.ask(ctx, node, r)
		}
		return p.owner.Serve(mesh.Hello{}, r), nil
	})
	p.owner.SetRecord("owner", "kl")
	p.asker.SetRecord("owner", "kl")
	p.pass(6 * time.Second)
	return p
}

// pass lets a time pass.
func (p *pair) pass(d time.Duration) {
	for ; d > 0; d -= 200 * time.Millisecond {
		p.owner.Check()
		p.clock.Advance(min(d, 200*time.Millisecond))
		p.owner.Check()
	}
}

// take takes tokens for n requests and returns the number that are within the quota.
func (p *pair) take(ctx context.Context, n int) (within int) {
	for range n {
		if p.asker.Take(ctx, p.customer).Result() == tokens.Within {
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
		prepare func(p *pair)
		result  any
		asks    int64
		retryIn time.Duration // then an owner is asked again
	}{
		"owner grants":           {func(*pair) {}, tokens.Within, 1, 0},
		"owner unreachable":      {func(p *pair) { p.ask = fail }, tokens.NoOwner, 1, 500 * time.Millisecond},
		"owner silent, or older": {func(p *pair) { p.ask = silent }, tokens.NoOwner, 1, 500 * time.Millisecond},
		"owner has lost the store": {func(p *pair) {
			p.age.Store(int64(5 * time.Second))
		}, tokens.NoOwner, 1, quota.MaxHint},
		"owner out of tokens": {func(p *pair) {
			p.owner.Serve(mesh.Hello{}, &mesh.TokenRequest{Customer: "acme", Count: 99})
		}, tokens.Over, 1, quota.MaxHint},
		"customer removed at the owner": {func(p *pair) {
			p.table.Store(newTable(2, -1))
		}, tokens.NoOwner, 1, quota.MaxHint},
		"spoiled answer": {func(p *pair) { p.ask = grantLess }, tokens.Over, 1, quota.MaxHint},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := newPair()
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
	p := newPair()
	came := make(chan struct{})
	p.ask = func(_ context.Context, _ string, r *mesh.TokenRequest) (*mesh.Tokens, error) {
		<-came // the others wait by then
		return p.owner.Serve(mesh.Hello{}, r), nil
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
	is.Equal(p.owner.Take(t.Context(), p.customer).Result(), tokens.Within) // it has no one to ask
}

// Guards against a token that is lost with a request that no target got, or that is used
// after its time.
func TestTokensAreGivenBack(t *testing.T) {
	is := is.New(t)
	p := newPair()
	v := p.asker.Take(t.Context(), p.customer)
	p.asker.Return(v)
	is.Equal(p.take(t.Context(), 1), 1)
	is.Equal(p.asks.Load(), int64(1))
	p.asker.Return(v)
	p.pass(time.Second)
	is.Equal(p.take(t.Context(), 1), 1)
	is.Equal(p.asks.Load(), int64(2))
}

// Guards against a lowered quota that holds only after the tokens of the earlier one are used.
func TestLoweredQuotaHoldsAtOnce(t *testing.T) {
	is := is.New(t)
	p := newPair()
	p.table.Store(newTable(2, 0.5))
	is.Equal(p.take(t.Context(), 30), 10) // the smallest size of a bucket
	p.table.Store(newTable(3, 0))
	is.Equal(p.owner.Serve(mesh.Hello{}, &mesh.TokenRequest{Customer: "acme", Count: 30}).Count, 30) // no quota any more
}

// BenchmarkAsk gives the cost of a request whose token needs a message, both sides together
// without the network, and of one whose owner is on the same VM.
func BenchmarkAsk(b *testing.B) {
	p := newPair()
	for name, q := range map[string]*tokens.Quotas{"other": p.asker, "same": p.owner} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				p.clock.Advance(20 * time.Millisecond)
				if q.Take(b.Context(), p.customer).Result() != tokens.Within {
					b.Fatal("refused")
				}
			}
		})
	}
}
