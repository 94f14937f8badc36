package retry

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	defaultQuantile   = 0.95
	defaultHedgeShare = 0.05
	defaultHedgeBurst = 5.0
	defaultWindow     = 10 * time.Second
	defaultMinSamples = 20

	maxLatency = time.Minute
	// One significant digit keeps a histogram at a few KB; a hedge delay that
	// is 10 % off changes the share of hedged calls little.
	significantDigits = 1
	// refreshSamples is the number of samples after which the quantile of the
	// current window is computed again.
	refreshSamples = 64
)

// HedgerOptions configure a Hedger. A field that is zero has its default.
type HedgerOptions struct {
	// Off allows no hedged request at all.
	Off bool
	// Quantile of the latency after which a hedged request starts; default
	// 0.95.
	Quantile float64
	// Share is the number of hedged requests per call; default 0.05.
	Share float64
	// Burst is the number of unused hedged requests that are kept; default 5.
	Burst float64
	// Window is the time over which latency is measured; default 10 s.
	Window time.Duration
	// MinSamples is the number of samples the quantile needs; default 20.
	MinSamples int64
}

// Hedger measures the delay after which a hedged request of one service starts,
// and bounds the number of hedged requests by a share of the calls.
type Hedger struct {
	opts              HedgerOptions
	current, previous *hdrhistogram.Histogram
	windowStart       time.Time
	delay             time.Duration
	tokens            float64
}

// NewHedger returns a hedger without samples.
func NewHedger(o HedgerOptions) *Hedger {
	if o.Quantile <= 0 || o.Quantile >= 1 {
		o.Quantile = defaultQuantile
	}
	if o.Share <= 0 {
		o.Share = defaultHedgeShare
	}
	if o.Burst <= 0 {
		o.Burst = defaultHedgeBurst
	}
	if o.Window <= 0 {
		o.Window = defaultWindow
	}
	if o.MinSamples <= 0 {
		o.MinSamples = defaultMinSamples
	}
	maxMicros := maxLatency.Microseconds()
	return &Hedger{
		opts:     o,
		current:  hdrhistogram.New(1, maxMicros, significantDigits),
		previous: hdrhistogram.New(1, maxMicros, significantDigits),
	}
}

// RecordCall records a call that is neither a retry nor hedged.
func (h *Hedger) RecordCall() { h.tokens = min(h.tokens+h.opts.Share, h.opts.Burst) }

// RecordLatency adds the latency of a complete answer, from the start of the first
// attempt.
func (h *Hedger) RecordLatency(now time.Time, latency time.Duration) {
	h.rotate(now)
	us := min(max(latency, time.Microsecond), maxLatency).Microseconds()
	if h.current.RecordValue(us) != nil {
		return // unreachable: the value is within the range
	}
	n := h.current.TotalCount()
	if h.previous.TotalCount() < h.opts.MinSamples && n >= h.opts.MinSamples &&
		(h.delay == 0 || n%refreshSamples == 0) {
		h.delay = h.quantile(h.current)
	}
}

// Delay returns the time after the start of the first attempt at which a hedged
// request starts, or false if there are too few samples.
func (h *Hedger) Delay(now time.Time) (time.Duration, bool) {
	h.rotate(now)
	return h.delay, h.delay > 0
}

// Available reports whether a hedged request is within the budget.
func (h *Hedger) Available() bool { return !h.opts.Off && h.tokens >= 1 }

// Take uses one token and reports whether one was available. If none was, it
// changes nothing.
func (h *Hedger) Take() bool {
	if !h.Available() {
		return false
	}
	h.tokens--
	return true
}

func (h *Hedger) rotate(now time.Time) {
	age := now.Sub(h.windowStart)
	if age < h.opts.Window {
		return
	}
	h.current, h.previous = h.previous, h.current
	h.current.Reset()
	if age >= 2*h.opts.Window {
		h.previous.Reset()
	}
	h.windowStart = now
	h.delay = 0
	if h.previous.TotalCount() >= h.opts.MinSamples {
		h.delay = h.quantile(h.previous)
	}
}

func (h *Hedger) quantile(x *hdrhistogram.Histogram) time.Duration {
	return time.Duration(x.ValueAtQuantile(100*h.opts.Quantile)) * time.Microsecond
}
