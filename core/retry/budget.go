package retry

import "time"

const (
	defaultRetryShare = 0.10
	defaultRetryFloor = 3.0
	// defaultRetryBurst covers the queued calls that one daemon gets back when
	// a target drains.
	defaultRetryBurst = 10.0
)

// BudgetOptions configure a Budget. A field that is zero has its default.
type BudgetOptions struct {
	// Off allows no retry at all.
	Off bool
	// Share is the number of retries per call; default 0.1.
	Share float64
	// Floor is the number of retries per second that is always possible;
	// default 3.
	Floor float64
	// Burst is the number of unused retries that are kept; default 10. At least
	// one is kept: a daemon's part of a budget for hundreds may be less.
	Burst float64
}

// Budget is a token budget that bounds the retries of one service by the larger of
// a share of its calls and a floor per second.
type Budget struct {
	opts        BudgetOptions
	shareTokens float64
	floorTokens float64
	lastRefill  time.Time
	denied      denial
}

// NewBudget returns a budget with one second of its floor available.
func NewBudget(o BudgetOptions) *Budget {
	o = o.withDefaults()
	return &Budget{opts: o, floorTokens: o.Floor}
}

// SetOptions changes the options. Available tokens are kept up to the new bounds:
// a new budget would permit its burst again.
func (b *Budget) SetOptions(o BudgetOptions) {
	b.opts = o.withDefaults()
	b.shareTokens, b.floorTokens = min(b.shareTokens, b.opts.Burst), min(b.floorTokens, b.maxFloorTokens())
}

// maxFloorTokens returns the number of unused retries of the floor that are kept: those of
// a second, at least one.
func (b *Budget) maxFloorTokens() float64 { return max(b.opts.Floor, 1) }

func (o BudgetOptions) withDefaults() BudgetOptions {
	if o.Share <= 0 {
		o.Share = defaultRetryShare
	}
	if o.Floor <= 0 {
		o.Floor = defaultRetryFloor
	}
	if o.Burst <= 0 {
		o.Burst = defaultRetryBurst
	}
	o.Burst = max(o.Burst, 1)
	return o
}

// RecordCall records a call that is not a retry. The tokens that it adds to the share
// are subtracted from the floor, so that the two do not add up.
func (b *Budget) RecordCall(now time.Time) {
	b.refill(now)
	b.shareTokens = min(b.shareTokens+b.opts.Share, b.opts.Burst)
	b.floorTokens = max(b.floorTokens-b.opts.Share, 0)
}

// Available reports whether a retry is within the budget.
func (b *Budget) Available(now time.Time) bool {
	b.refill(now)
	return !b.opts.Off && (b.shareTokens >= 1 || b.floorTokens >= 1)
}

// Take uses one token and reports whether one was available. If none was, it
// changes nothing.
func (b *Budget) Take(now time.Time) bool {
	switch {
	case !b.Available(now):
		return false
	case b.shareTokens >= 1:
		b.shareTokens--
	default:
		b.floorTokens--
	}
	return true
}

func (b *Budget) refill(now time.Time) {
	if elapsed := now.Sub(b.lastRefill); !b.lastRefill.IsZero() && elapsed > 0 {
		b.floorTokens = min(b.floorTokens+elapsed.Seconds()*b.opts.Floor, b.maxFloorTokens())
	}
	if now.After(b.lastRefill) {
		b.lastRefill = now
	}
}
