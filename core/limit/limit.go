package limit

import (
	"math"
	"time"
)

const (
	// MaxKinds is the number of kinds of calls that have averages of their own.
	MaxKinds = 256

	decreaseFactor = 0.75
	meanWeight     = 1.0 / 16
)

// Limit computes the number of calls that a target runs at a time.
type Limit struct {
	opts         Options
	value        float64
	mean         float64
	stats        []latencyStats // by kind
	lastDecrease time.Time
	minValue     float64
}

// New returns a limit that starts at its maximum.
func New(o Options) *Limit {
	l := &Limit{}
	l.SetOptions(o)
	l.value = float64(l.opts.Max)
	return l
}

// SetOptions changes the options. A limit at its maximum moves to the new maximum;
// any other is clamped to the new bounds.
func (l *Limit) SetOptions(o Options) {
	atMax := l.value >= float64(l.opts.Max)
	l.opts = o.withDefaults()
	l.minValue = math.Ceil(float64(l.opts.Max) * l.opts.MinShare)
	if atMax {
		l.value = float64(l.opts.Max)
	}
	l.value = min(max(l.value, l.minValue), float64(l.opts.Max))
}

// statsOf returns the averages of a kind.
func (l *Limit) statsOf(kind int) *latencyStats {
	for len(l.stats) <= kind {
		l.stats = append(l.stats, latencyStats{})
	}
	return &l.stats[kind]
}

// Observe records a call of the given kind (0 to MaxKinds-1) that ended after the
// service time, and adjusts the limit. The number of running calls includes this
// one. A failed call is ignored if it was faster than the average of its kind.
func (l *Limit) Observe(now time.Time, kind int, service time.Duration, running int, failed bool) {
	s := l.statsOf(kind)
	if failed && (s.count == 0 || float64(service) < s.fastMean) {
		return
	}
	s.add(now, l.opts.Window, service)
	if l.mean == 0 {
		l.mean = float64(service)
	}
	l.mean += (float64(service) - l.mean) * meanWeight
	if s.latencyRatio() > l.opts.Tolerance {
		l.decrease(now)
		return
	}
	// An idle target gives no evidence that it can run more calls.
	if float64(running) >= l.value/2 {
		l.value = min(l.value+1/l.value, float64(l.opts.Max))
	}
}

// decrease lowers the limit at most once per mean latency, so that the effect
// of one decrease is seen before the next.
func (l *Limit) decrease(now time.Time) {
	if !l.lastDecrease.IsZero() && now.Sub(l.lastDecrease) < time.Duration(l.mean) {
		return
	}
	l.lastDecrease = now
	l.value = max(l.value*decreaseFactor, l.minValue)
}

// Value returns the number of calls that may run at a time.
func (l *Limit) Value() int { return int(l.value) }

// Latency returns the average time of a call in the target, 0 if unknown.
func (l *Limit) Latency() time.Duration { return time.Duration(l.mean) }

// Mean returns the average time of a call of the given kind, 0 if unknown.
func (l *Limit) Mean(now time.Time, kind int) time.Duration {
	s := l.statsOf(kind)
	return s.decayed(now, s.fastMean)
}

// Median returns the time that half of the calls of the given kind exceed,
// 0 if unknown.
func (l *Limit) Median(now time.Time, kind int) time.Duration {
	s := l.statsOf(kind)
	return s.decayed(now, s.median)
}
