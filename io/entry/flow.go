package entry

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"trefoilthread/core/poison"
	"trefoilthread/core/retry"
	"trefoilthread/core/route"
	"trefoilthread/core/types"
	"trefoilthread/io/target"
	"trefoilthread/io/wire"
)

// FlowOptions configure a Flow.
type FlowOptions struct {
	// NewPicker makes the picker of a service.
	NewPicker func(types.ServiceName) *route.Picker
	// Targets returns the known targets of a service.
	Targets func(types.ServiceName) []types.Target
	// Send runs one attempt on the target, through the daemon beside it.
	Send func(ctx context.Context, t types.Target, head *wire.CallHead, body io.Reader) (*wire.Answer, error)
	// Retries returns the retry and hedge budgets of a service.
	Retries func(types.ServiceName) (retry.BudgetOptions, retry.HedgerOptions)
	// Check tells whether a request is suspected of crashing targets.
	Check func(types.Fingerprint) poison.Status
	// Observe is told the load that a target's daemon reported. It may be nil.
	Observe func(t types.Target, r types.Report)
	Clock   clockwork.Clock
}

// Flow brings calls to targets. Its methods may be called from any goroutine.
type Flow struct {
	opts FlowOptions

	mu    sync.RWMutex
	pools map[types.ServiceName]*pool
}

// NewFlow returns a flow that knows no targets yet.
func NewFlow(o FlowOptions) *Flow {
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	return &Flow{opts: o, pools: map[types.ServiceName]*pool{}}
}

func (f *Flow) now() time.Time { return f.opts.Clock.Now() }

// Refresh takes over the known targets of a service, if it was called before.
func (f *Flow) Refresh(service types.ServiceName) {
	f.mu.RLock()
	p, ok := f.pools[service]
	f.mu.RUnlock()
	if ok {
		p.setRetries(f.opts.Retries(service))
		f.follow(p, service)
	}
}

// follow gives a pool the known targets. Two refreshes at the same time take
// turns: one that read the targets earlier and updated the picker later would
// leave it with an old list until the next change.
func (f *Flow) follow(p *pool, service types.ServiceName) {
	p.refresh.Lock()
	defer p.refresh.Unlock()
	p.update(f.now(), f.opts.Targets(service))
}

// RefreshAll takes over the known targets of each service that was called
// before. Services that this daemon never calls cost it nothing.
func (f *Flow) RefreshAll() {
	f.mu.RLock()
	names := make([]types.ServiceName, 0, len(f.pools))
	for name := range f.pools {
		names = append(names, name)
	}
	f.mu.RUnlock()
	for _, name := range names {
		f.Refresh(name)
	}
}

func (f *Flow) pool(service types.ServiceName) *pool {
	f.mu.RLock()
	p, ok := f.pools[service]
	f.mu.RUnlock()
	if ok {
		return p
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if p, ok = f.pools[service]; !ok {
		p = &pool{picker: f.opts.NewPicker(service)}
		p.setRetries(f.opts.Retries(service))
		f.follow(p, service)
		f.pools[service] = p
	}
	return p
}

// Do runs a call and returns the first whole answer's head with its body to be
// read, or a *types.Failure. ctx must stay alive until the body is closed.
func (f *Flow) Do(ctx context.Context, head *wire.CallHead, body *Body) (*wire.Answer, error) {
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = f.now().Add(time.Duration(head.Timeout) * time.Microsecond)
	}
	c, err := target.CallOf(head, deadline)
	if err != nil {
		return nil, types.NewFailure(types.BadRequest, err.Error())
	}
	r := &race{flow: f, ctx: ctx, call: c, head: head, body: body, pool: f.pool(c.Service()), tries: c.TriesLeft()}
	r.done = make(chan *attempt, max(1, r.tries))
	return r.run()
}
