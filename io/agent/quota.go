package agent

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"

	"trefoilthread/core/quota"
	"trefoilthread/core/types"
	"trefoilthread/core/vhost"
	"trefoilthread/io/mesh"
)

// quotaOptions configure quotas. All fields are required.
type quotaOptions struct {
	self    string
	dc      types.DataCentre
	centres []types.DataCentre // the same list at all agents
	clock   clockwork.Clock
	// elapsed returns the time on a clock that counts suspension. A paused agent must not
	// use tokens that have expired meanwhile.
	elapsed func() time.Time
	log     log.Interface
	metrics *metrics
	table   func() *vhost.Table // in force, nil if there is none
	// age returns the age of the knowledge of the store.
	age func() time.Duration
	// ask asks another agent for tokens.
	ask func(ctx context.Context, node string, r *mesh.TokenRequest) (*mesh.Tokens, error)
}

// quotas takes tokens of customers' quotas for the requests of this agent's callers, and
// grants those of the customers that this agent owns.
type quotas struct {
	quotaOptions
	noOwnerLines *rate.Limiter

	mu        sync.Mutex
	directory *quota.Directory
	owner     *quota.Owner
	silent    *quota.Silent
	customers map[types.CustomerName]*customerQuota
	applied   *vhost.Table // its limits are those of owner
}

// customerQuota is what this agent holds of the quota of one customer.
type customerQuota struct {
	name    types.CustomerName
	asker   *quota.Asker
	owners  []string // as of changes of the directory
	changes uint64
	waiting []*quotaWait
	asking  bool // a goroutine asks the owners for those that wait
}

// quotaWait is a request that waits for a token.
type quotaWait struct {
	until   time.Time // it is refused then
	verdict chan quotaVerdict
}

const (
	// quotaCheckInterval is the time between two checks of the age of the knowledge of the
	// store and of the configuration.
	quotaCheckInterval = 200 * time.Millisecond
	// noOwnerLinesPerSecond limits the log lines on owners that don't answer.
	noOwnerLinesPerSecond = 1
)

func newQuotas(o quotaOptions) *quotas {
	dir := quota.NewDirectory(o.centres)
	return &quotas{
		quotaOptions: o, noOwnerLines: rate.NewLimiter(noOwnerLinesPerSecond, 1), directory: dir,
		owner: quota.NewOwner(o.self, o.dc, dir), silent: quota.NewSilent(),
		customers: make(map[types.CustomerName]*customerQuota),
	}
}

// setRecord enters an agent with a record in the store.
func (q *quotas) setRecord(node string, dc types.DataCentre) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.directory.Set(node, dc)
}

// setRestart notes whether the store has had a record of this agent for quota.SettleTime.
func (q *quotas) setRestart(isSettled bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.owner.SetRestart(isSettled)
}

// removeRecord removes an agent whose record is gone from the store.
func (q *quotas) removeRecord(node string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.directory.Remove(node)
}

// run keeps track of the age of the knowledge of the store until ctx ends.
func (q *quotas) run(ctx context.Context) {
	for ctx.Err() == nil {
		q.check()
		sleep(ctx, q.clock, quotaCheckInterval)
	}
}

// check takes over the age of the knowledge of the store and the configuration in force.
func (q *quotas) check() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.refresh(q.clock.Now())
	q.metrics.setOwned(q.owner.Owned())
}

// refresh is check with the lock held.
func (q *quotas) refresh(now time.Time) {
	q.owner.Observe(now, q.elapsed(), q.age())
	t := q.table()
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

// serveTokens answers another agent's request for tokens.
func (q *quotas) serveTokens(_ mesh.Hello, r *mesh.TokenRequest) *mesh.Tokens {
	q.mu.Lock()
	defer q.mu.Unlock()
	g := q.grant(types.CustomerName(r.Customer), r.Count)
	return &mesh.Tokens{Entitled: g.Entitled, Count: g.Count, WaitUs: g.Wait.Microseconds()}
}

// grant grants tokens as the owner, with the lock held.
func (q *quotas) grant(c types.CustomerName, want int) quota.Grant {
	now := q.clock.Now()
	q.refresh(now)
	return q.owner.Grant(now, c, want)
}
