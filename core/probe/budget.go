package probe

import "time"

// Budget grants measurements of one target within a bound on their cost in any
// window.
type Budget struct {
	opts    Options
	started time.Time
	latest  time.Time // no grant before: the latest grant, drop of a grant, or the start
	grants  []grant   // ring of at most opts.Records, oldest first
	first   int
	count   int
	used    time.Duration // sum of the costs in the ring
	refused uint64
}

// New returns a budget that is used up for one window from now on, because the
// grants of a previous process are unknown.
func New(now time.Time, o Options) *Budget {
	o = o.withDefaults()
	return &Budget{opts: o, started: now, latest: now, grants: make([]grant, o.Records)}
}

// Grant decides whether a measurement of the given cost may be made now, and if
// so, records the cost.
func (b *Budget) Grant(now time.Time, cost time.Duration) Decision {
	d := b.decide(now, cost)
	if !d.granted {
		b.refused++
		return d
	}
	b.record(now, cost)
	return d
}

// SetBudget sets the total cost in any window from the next decision on. A
// value of zero or less forbids all measurement.
func (b *Budget) SetBudget(d time.Duration) { b.opts.Budget = d }

// Budget returns the total cost allowed in any window.
func (b *Budget) Budget() time.Duration { return b.opts.Budget }

// Window returns the length of the window.
func (b *Budget) Window() time.Duration { return b.opts.Window }

// Used returns the cost granted in the window that ends now. It exceeds the
// budget for at most one window after the budget was lowered.
func (b *Budget) Used(now time.Time) time.Duration {
	b.expire(now)
	return b.used
}

// Refused returns the number of requests that got no grant.
func (b *Budget) Refused() uint64 { return b.refused }

func (b *Budget) decide(now time.Time, cost time.Duration) Decision {
	if cost <= 0 || cost > b.opts.Budget {
		return Decision{never: true}
	}
	if now.Before(b.latest) {
		return Decision{wait: max(b.latest.Sub(now), b.startupWait(now))}
	}
	if w := b.startupWait(now); w > 0 {
		return Decision{wait: w}
	}
	b.expire(now)
	// The subtraction can't overflow, as b.used+cost could.
	if b.used <= b.opts.Budget-cost {
		return Decision{granted: true}
	}
	remaining := b.used
	for i := range b.count {
		g := b.at(i)
		remaining -= g.cost
		if remaining <= b.opts.Budget-cost {
			return Decision{wait: b.expiry(g.at).Sub(now)}
		}
	}
	return Decision{wait: b.opts.Window}
}

// startupWait returns the time left until the grants of a previous process can no
// longer share a window with a new grant.
func (b *Budget) startupWait(now time.Time) time.Duration {
	return max(b.expiry(b.started).Sub(now), 0)
}

// expiry returns the first time whose window doesn't contain a grant made at t.
// Windows are closed, so this is one nanosecond more than a window after t.
func (b *Budget) expiry(t time.Time) time.Time {
	return t.Add(b.opts.Window + 1)
}

// expire removes the grants that are outside of the window that ends now. A clock that steps
// back could bring them into the window again, so that nothing is granted before now.
func (b *Budget) expire(now time.Time) {
	for b.count > 0 && !now.Before(b.expiry(b.at(0).at)) {
		b.used -= b.at(0).cost
		b.first = (b.first + 1) % len(b.grants)
		b.count--
		if now.After(b.latest) {
			b.latest = now
		}
	}
}

func (b *Budget) record(now time.Time, cost time.Duration) {
	b.latest = now
	b.used += cost
	if b.count == len(b.grants) {
		// Counting the latest record as granted now keeps it longer than
		// needed, which never admits more.
		g := b.at(b.count - 1)
		g.at, g.cost = now, g.cost+cost
		return
	}
	b.count++
	*b.at(b.count - 1) = grant{at: now, cost: cost}
}

// at returns the i-th oldest grant of the ring.
func (b *Budget) at(i int) *grant { return &b.grants[(b.first+i)%len(b.grants)] }
