package limit

import (
	"math"
	"time"
)

const (
	// MaxKinds bounds the kinds of calls that have averages of their own.
	MaxKinds = 256

	decreaseFactor = 0.75
	meanWeight     = 1.0 / 16
)

// Limit is the number of calls a target runs at a time.
type Limit struct {
	opts     Options
	value    float64
	mean     float64
	tracks   []track // by kind
	lowered  time.Time
	lowWater float64
}

// New returns a limit that starts at its maximum.
func New(o Options) *Limit {
	l := &Limit{}
	l.SetOptions(o)
	l.value = float64(l.opts.Max)
	return l
}

// SetOptions changes the options. A limit at its maximum stays there.
func (l *Limit) SetOptions(o Options) {
	atMax := l.value >= float64(l.opts.Max)
	l.opts = o.withDefaults()
	l.lowWater = math.Ceil(float64(l.opts.Max) * l.opts.MinShare)
	if atMax {
		l.value = float64(l.opts.Max)
	}
	l.value = min(max(l.value, l.lowWater), float64(l.opts.Max))
}

// track returns the averages of a kind.
func (l *Limit) track(kind int) *track {
	for len(l.tracks) <= kind {
		l.tracks = append(l.tracks, track{})
	}
	return &l.tracks[kind]
}

// Observe records a call of the given kind (0 to MaxKinds-1) that ended after
// service, with running calls in the target before it ended.
func (l *Limit) Observe(now time.Time, kind int, service time.Duration, running int, failed bool) {
	t := l.track(kind)
	if failed && (t.count == 0 || float64(service) < t.fast) {
		return
	}
	t.add(now, l.opts.Window, service)
	if l.mean == 0 {
		l.mean = float64(service)
	}
	l.mean += (float64(service) - l.mean) * meanWeight
	if t.ratio() > l.opts.Tolerance {
		l.decrease(now)
		return
	}
	// An idle target gives no evidence that it would bear more.
	if float64(running) >= l.value/2 {
		l.value = min(l.value+1/l.value, float64(l.opts.Max))
	}
}

// decrease lowers the limit at most once per mean latency, so that the effect
// of one decrease is seen before the next.
func (l *Limit) decrease(now time.Time) {
	if !l.lowered.IsZero() && now.Sub(l.lowered) < time.Duration(l.mean) {
		return
	}
	l.lowered = now
	l.value = max(l.value*decreaseFactor, l.lowWater)
}

// Value returns the number of calls that may run at a time.
func (l *Limit) Value() int { return int(l.value) }

// Latency returns the average time of a call in the target, 0 if unknown.
func (l *Limit) Latency() time.Duration { return time.Duration(l.mean) }

// Mean returns the average time of a call of the given kind, 0 if unknown.
func (l *Limit) Mean(now time.Time, kind int) time.Duration {
	t := l.track(kind)
	return t.decayed(now, t.fast)
}

// Median returns the time that half of the calls of the given kind exceed,
// 0 if unknown.
func (l *Limit) Median(now time.Time, kind int) time.Duration {
	t := l.track(kind)
	return t.decayed(now, t.median)
}
