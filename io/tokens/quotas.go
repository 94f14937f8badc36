package tokens

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"
	"golang.org/x/time/rate"

	"trefoilthread/core/quota"
	"trefoilthread/core/types"
	"trefoilthread/core/vhost"
	"trefoilthread/io/mesh"
	"trefoilthread/io/timing"
)

// Options configure Quotas. All fields are required.
type Options struct {
	Self       string // name of this agent
	DataCentre types.DataCentre
	Centres    []types.DataCentre // the same list at all agents
	Clock      clockwork.Clock
	// Elapsed returns the time on a clock that counts suspension. A paused agent must not
	// use tokens that have expired meanwhile.
	Elapsed func() time.Time
	Log     log.Interface
	Scope   tally.Scope
	Table   func() *vhost.Table // in force, nil if there is none
	// Age returns the age of the knowledge of the store.
	Age func() time.Duration
	// Ask asks another agent for tokens.
	Ask func(ctx context.Context, node string, r *mesh.TokenRequest) (*mesh.Tokens, error)
}

// Quotas takes tokens of customers' quotas for the requests of this agent's callers, and
// grants those of the customers that this agent owns. It is safe for concurrent use.
type Quotas struct {
	opts         Options
	noOwnerLines *rate.Limiter

	mu        sync.Mutex
	directory *quota.Directory
	owner     *quota.Owner
	silent    *quota.Silent
	customers map[types.CustomerName]*customerState
	applied   *vhost.Table // its limits are those of owner
}

// customerState is what this agent holds of the quota of one customer.
type customerState struct {
	name    types.CustomerName
	asker   *quota.Asker
	owners  []string // as of changes of the directory
	changes uint64
	waiting []*waiter
	asking  bool // a goroutine asks the owners for those that wait
}

// waiter is a request that waits for a token.
type waiter struct {
	until   time.Time // it is refused then
	verdict chan Verdict
}

const (
	// checkInterval is the time between two checks of the age of the knowledge of the
	// store and of the configuration.
	checkInterval = 200 * time.Millisecond
	// noOwnerLinesPerSecond limits the log lines on owners that don't answer.
	noOwnerLinesPerSecond = 1
)

// New returns quotas without owners. Run keeps them up to date.
func New(o Options) *Quotas {
	dir := quota.NewDirectory(o.Centres)
	return &Quotas{
		opts: o, noOwnerLines: rate.NewLimiter(noOwnerLinesPerSecond, 1), directory: dir,
		owner: quota.NewOwner(o.Self, o.DataCentre, dir), silent: quota.NewSilent(),
		customers: make(map[types.CustomerName]*customerState),
	}
}

// SetRecord enters an agent of a data centre that has a record in the store.
func (q *Quotas) SetRecord(node string, dc types.DataCentre) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.directory.Set(node, dc)
}

// SetRestart notes whether the store has had a record of this agent for quota.SettleTime.
func (q *Quotas) SetRestart(isSettled bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.owner.SetRestart(isSettled)
}

// RemoveRecord removes an agent whose record is gone from the store.
func (q *Quotas) RemoveRecord(node string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.directory.Remove(node)
}

// Run keeps track of the age of the knowledge of the store until ctx ends.
func (q *Quotas) Run(ctx context.Context) {
	for ctx.Err() == nil {
		q.Check()
		timing.Sleep(ctx, q.opts.Clock, checkInterval)
	}
}

// Check takes over the age of the knowledge of the store and the configuration in force. Run
// calls it.
func (q *Quotas) Check() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.refresh(q.opts.Clock.Now())
	q.opts.Scope.Gauge("quota_customers_owned").Update(float64(q.owner.Owned()))
}

// refresh is Check with the lock held.
func (q *Quotas) refresh(now time.Time) {
	q.owner.Observe(now, q.opts.Elapsed(), q.opts.Age())
	t := q.opts.Table()
	if t == q.applied {
		return
	}
	q.applied = t
	limits := make(map[types.CustomerName]quota.Limit)
	for _, c := range t.Customers() {
		limits[c.Name()] = quota.Limit{PerSecond: c.PerSecond(), Burst: c.Burst()}
	}
	q.owner.SetLimits(now, limits)
	for name, s := range q.customers {
		if _, ok := limits[name]; !ok && !s.asking {
			delete(q.customers, name)
		}
	}
}

// Serve answers another agent's request for tokens.
func (q *Quotas) Serve(_ mesh.Hello, r *mesh.TokenRequest) *mesh.Tokens {
	q.mu.Lock()
	defer q.mu.Unlock()
	g := q.grant(types.CustomerName(r.Customer), r.Count)
	return &mesh.Tokens{Entitled: g.Entitled, Count: g.Count, WaitUs: g.Wait.Microseconds()}
}

// grant grants tokens as the owner, with the lock held.
func (q *Quotas) grant(c types.CustomerName, want int) quota.Grant {
	now := q.opts.Clock.Now()
	q.refresh(now)
	return q.owner.Grant(now, c, want)
}

// count adds one to the counter with a name.
func (q *Quotas) count(name string) { q.opts.Scope.Counter(name).Inc(1) }
