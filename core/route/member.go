package route

import (
	"time"

	"trefoilthread/core/types"
)

const (
	// slowStart is the time after a start in which a target's share grows,
	// while its caches and connections are cold.
	slowStart = 5 * time.Second
	minWarmth = 0.1

	// latencyAlpha weighs a new latency. A larger value follows a straggler
	// faster, but lets the noise of single calls move traffic between equal
	// targets; the age of the oldest call is the fast signal.
	latencyAlpha = 0.1
	// shareAlpha weighs a new result. Six failures in a row raise the share of
	// failures from 0 above 0.5.
	shareAlpha = 0.125

	// idleHalfLife lets old results fade while no new ones come in.
	idleHalfLife = time.Second

	// paceHalfLife lets a reported pace fade. Changes are told at once, but only
	// a target that runs calls can know of them.
	paceHalfLife = time.Second

	// drainHold bounds how long a report that says draining overrides the
	// membership, which may never show a drain that was undone.
	drainHold = 30 * time.Second
)

// member is a target with what this daemon knows about it.
type member struct {
	target      types.Target
	hash        uint64
	distance    time.Duration
	incarnation uint64 // highest seen in the membership or a report
	round       uint64 // last Update that had the target
	inSubset    bool

	stats
}

// stats is what one incarnation of a target has shown.
type stats struct {
	started  time.Duration // start of the slow start
	drained  time.Duration // end of a drain known from a report
	observed time.Duration // last end of a call, or last start of one when idle
	latency  average       // nanoseconds
	failures float64       // share of failed calls

	inFlight, trials        int
	oldest, newest, watched uint32 // list of calls; watched are those that count for age

	reported      time.Duration
	others        float64 // reported calls of other daemons
	limit         int
	reportLatency time.Duration
	pace          float64 // of the last report, 0 if unknown

	suspended bool
	backoff   time.Duration
	nextTrial time.Duration
}

func newStats(started time.Duration) stats {
	return stats{started: started, drained: never, observed: never, reported: never, oldest: none, newest: none, watched: none}
}

// isUsable reports whether the target takes new calls.
func (m *member) isUsable(now time.Duration) bool {
	return m.target.State() == types.Up && now >= m.drained
}

// warmth returns the progress of the slow start, from minWarmth to 1.
func (m *member) warmth(now time.Duration) float64 {
	return min(1, max(minWarmth, float64(now-m.started)/float64(slowStart)))
}

// idleWeight returns the weight of past results, which fade while no call is
// in flight.
func (m *member) idleWeight(now time.Duration) float64 {
	if m.inFlight > 0 {
		return 1
	}
	return decay(now-m.observed, idleHalfLife)
}

// expected returns the latency of a call in nanoseconds: the own average or
// that of the target's last report, whichever is longer, else the service's
// average. The target averages the calls of all daemons and therefore shows a
// slowdown before each daemon has seen enough calls of its own.
func (m *member) expected(now time.Duration, weight, service float64) float64 {
	latency := service
	if m.latency.set {
		latency = m.latency.value
		if latency > service {
			latency = service + (latency-service)*weight
		}
	}
	if r := float64(m.reportLatency); r > latency && r > 2*service {
		latency += (r - latency) * decay(now-m.reported, idleHalfLife)
	}
	return latency
}

// settle applies the idle time to the past results before a call starts.
func (m *member) settle(now time.Duration, service float64) {
	if m.inFlight > 0 {
		return
	}
	w := m.idleWeight(now)
	if m.latency.set {
		m.latency.value = m.expected(now, w, service)
	}
	m.failures *= w
	m.observed = now
}

// observe counts a result. x is the latency in nanoseconds without the way.
func (m *member) observe(now time.Duration, v verdict, x float64) {
	m.observed = now
	switch v {
	case succeeded:
		m.latency.observe(x, latencyAlpha)
		m.failures -= shareAlpha * m.failures
		return
	case failed:
		m.failures += shareAlpha * (1 - m.failures)
	case refused:
		m.failures += shareAlpha * (refusedShare - m.failures)
		return
	case silent:
		return
	}
	// A call that failed or ended early shows a lower bound of the latency.
	if m.latency.set && x > m.latency.value {
		m.latency.observe(x, latencyAlpha)
	}
}

// slowness returns how much longer than usual a call takes that starts now, by
// the pace of the last report. Neighbours on the host come and go, so it fades
// to 1.
func (m *member) slowness(now time.Duration) float64 {
	if m.pace <= 0 {
		return 1
	}
	return 1 + (m.pace-1)*decay(now-m.reported, paceHalfLife)
}

// accept stores a load report that belongs to the current incarnation.
func (m *member) accept(now time.Duration, r types.Report) {
	m.reported = now
	m.others = float64(max(0, r.InFlight()+r.Queued()-m.inFlight))
	m.limit = r.Limit()
	m.reportLatency = r.Latency()
	m.pace = r.Pace()
	if r.Draining() {
		m.drained = now + drainHold
	}
}

// slots returns the number of calls that the target runs at a time: the
// admission limit if that is lower.
func (m *member) slots() float64 {
	n := max(1, m.target.Slots())
	if m.limit > 0 {
		n = min(n, m.limit)
	}
	return float64(n)
}
