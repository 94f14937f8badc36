package agent

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"trefoilthread/core/relay"
	"trefoilthread/core/types"
	"trefoilthread/core/vhost"
	"trefoilthread/io/logs"
	"trefoilthread/io/mesh"
)

// Quotas exposes quotas.
type Quotas = quotas

// Results of Take.
const (
	WithinQuota  = withinQuota
	OverQuota    = overQuota
	NoQuotaOwner = noQuotaOwner
)

// QuotaVerdict exposes quotaVerdict.
type QuotaVerdict = quotaVerdict

// Result returns the result of a verdict.
func (v quotaVerdict) Result() quotaResult { return v.result }

// AskFunc asks another agent for tokens.
type AskFunc = func(ctx context.Context, node string, r *mesh.TokenRequest) (*mesh.Tokens, error)

// NewQuotas returns the quotas of an agent of one data centre.
func NewQuotas(
	self string, clock clockwork.Clock, scope tally.Scope, table func() *vhost.Table, age func() time.Duration, ask AskFunc,
) *Quotas {
	return newQuotas(quotaOptions{
		self: self, dc: "kl", centres: []types.DataCentre{"kl"}, clock: clock, elapsed: clock.Now, log: logs.Discard(),
		metrics: newMetrics(scope), table: table, age: age, ask: ask,
	})
}

// SetRecord exposes setRecord.
func (q *quotas) SetRecord(node string) { q.setRecord(node, q.dc) }

// Owners returns the agents that are asked for tokens of a customer.
func (q *quotas) Owners(c types.CustomerName) []string {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.directory.Owners(c, q.dc)
}

// Check exposes check.
func (q *quotas) Check() { q.check() }

// Take exposes take.
func (q *quotas) Take(ctx context.Context, c *vhost.Customer) QuotaVerdict { return q.take(ctx, c) }

// GiveBack exposes returnToken.
func (q *quotas) GiveBack(v QuotaVerdict) { q.returnToken(v) }

// ServeTokens exposes serveTokens.
func (q *quotas) ServeTokens(r *mesh.TokenRequest) *mesh.Tokens {
	return q.serveTokens(mesh.Hello{}, r)
}

// SetTable puts a configuration in force.
func SetTable(a *Agent, t *vhost.Table) { a.table.replaceIfNewer(t, "test") }

// QuotasOf returns the quotas of an agent.
func QuotasOf(a *Agent) *Quotas { return a.quotas }

// SetKnowledgeAge has an agent take a constant age of its knowledge of the store.
func SetKnowledgeAge(a *Agent, age time.Duration) {
	a.quotas.age = func() time.Duration { return age }
}

// Waiting returns the number of requests that wait for tokens.
func (q *quotas) Waiting() (n int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, s := range q.customers {
		n += len(s.waiting)
	}
	return n
}

// RecordAt returns the record in the store of an agent at an address.
func RecordAt(node, addr string) relay.Item {
	value, err := cbor.Marshal(storedRecord{Boot: 1, Address: addr, DataCentre: "kl", State: uint8(types.Down)})
	if err != nil {
		panic(err)
	}
	return relay.Item{Key: nodeKey(node), Value: value, Revision: 1}
}
