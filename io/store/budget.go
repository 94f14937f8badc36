package store

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"
)

// Budget limits the calls of one daemon to the store: token buckets for writes
// and reads, and trial calls only in an outage. It is safe for concurrent use.
type Budget struct {
	opts   BudgetOptions
	writes *rate.Limiter
	reads  *rate.Limiter

	mu     sync.Mutex
	outage outage
	counts BudgetCounts
}

// NewBudget returns a budget with full buckets.
func NewBudget(o BudgetOptions) *Budget {
	o = o.withDefaults()
	return &Budget{
		opts:   o,
		writes: rate.NewLimiter(rate.Limit(o.WritesPerSecond), o.WriteBurst),
		reads:  rate.NewLimiter(rate.Limit(o.ReadsPerSecond), o.ReadBurst),
		outage: newOutage(o),
	}
}

// Counts returns the decisions so far.
func (b *Budget) Counts() BudgetCounts {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.counts
}

// admit takes n calls from a bucket. In an outage it admits only trial calls;
// trial tells the caller to report that it was one. A refused call takes
// nothing from the bucket.
func (b *Budget) admit(l *rate.Limiter, n int) (trial bool, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.opts.Clock.Now()
	if !b.outage.allows(now) {
		b.counts.BackedOff++
		return false, errors.Wrap(ErrUnavailable, "store: waiting for the next trial call")
	}
	if !l.AllowN(now, n) {
		b.counts.Refused++
		return false, ErrBudget
	}
	if l == b.writes {
		b.counts.Writes += n
	} else {
		b.counts.Reads += n
	}
	return b.outage.begin(), nil
}

// report tells the budget how an admitted call ended.
func (b *Budget) report(trial bool, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case errors.Is(err, context.Canceled):
		// The caller gave up, which says nothing about the store.
		b.outage.undecided(trial)
	case errors.Is(err, ErrUnavailable), errors.Is(err, ErrUnknown):
		b.outage.failed(trial, b.opts.Clock.Now())
	default:
		b.outage.answered()
	}
}

// postpone gives a trial back without a result.
func (b *Budget) postpone() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.outage.postpone(b.opts.Clock.Now())
}

// pending registers the begin or end of a watch.
func (b *Budget) pending(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.counts.Pending += n
}
