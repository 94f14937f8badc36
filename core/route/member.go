package route

import (
	"time"

	"trefoilthread/core/types"
)

const (
	// slowStart is the time after a start in which a target's share of the calls
	// grows, because its caches and connections are cold.
	slowStart          = 5 * time.Second
	minSlowStartWeight = 0.1

	// latencyAlpha is the weight of a new latency. A larger value follows a straggler
	// faster, but lets the noise of single calls move traffic between equal
	// targets; the age of the oldest call is the fast signal.
	latencyAlpha = 0.1
	// failureAlpha is the weight of a new result. Six failures in a row raise the share of
	// failures from 0 above 0.5.
	failureAlpha = 0.125

	// idleHalfLife is the half-life of old results while no new ones come in.
	idleHalfLife = time.Second
	// maxRecentAge is the age from which on a call no longer tells how fast its target is: a
	// thirtieth of an excess over the service's average is left.
	maxRecentAge = 5 * idleHalfLife
	// exploreInterval is the least time between two calls of a Picker that go to targets
	// because these have no recent calls. Many daemons with few calls each would otherwise
	// overload a target that is slower than the others.
	exploreInterval = 15 * time.Second

	// slowdownHalfLife is the half-life of a reported slowdown. Changes are
	// reported at once, but a target notices them only while it runs calls.
	slowdownHalfLife = time.Second

	// limitMaxAge is the age from which on a reported limit is ignored.
	limitMaxAge = time.Second

	// maxLinkTime bounds the time for which reported bodies count, as a false report would
	// keep long bodies from the target.
	maxLinkTime = time.Second

	// drainHold bounds how long a report that says draining overrides the
	// membership, which may never show a drain that was canceled.
	drainHold = 30 * time.Second
)

// member is a target with this daemon's statistics about it.
type member struct {
	target      types.Target
	hash        uint64
	distance    time.Duration
	incarnation uint64 // highest seen in the membership or a report
	round       uint64 // last Update that had the target
	inSubset    bool

	stats
}

// stats holds what is known about one incarnation of a target.
type stats struct {
	startedAt     time.Duration // beginning of the slow start
	drainingUntil time.Duration // a report said that the target drains
	observedAt    time.Duration // last end of a call, or last start of one while idle
	latency       average       // nanoseconds
	failureShare  float64       // share of failed calls

	inFlight, trials                  int
	oldest, newest, oldestSinceResume uint32 // list of calls; only those since the last resume can suspend the target

	reportedAt    time.Duration
	loadAt        time.Duration // report of otherCalls
	otherCalls    float64       // reported calls from other daemons
	limit         int
	reportLatency time.Duration
	slowdown      float64       // factor in the last report, 0 if unknown
	linkFree      time.Duration // when the bodies of the last report have passed the target's link
	starts        startLimit

	suspended bool
	backoff   time.Duration
	nextTrial time.Duration

	unreachedUntil time.Duration // no connection could be made, left out until then
}

func newStats(started time.Duration) stats {
	return stats{startedAt: started, drainingUntil: longAgo, observedAt: longAgo, reportedAt: longAgo, loadAt: longAgo, unreachedUntil: longAgo, oldest: noCall, newest: noCall, oldestSinceResume: noCall}
}

// isUsable reports whether the target takes new calls.
func (m *member) isUsable(now time.Duration) bool {
	return m.target.State() == types.Up && now >= m.drainingUntil
}

// slowStartWeight returns the weight of the target in its slow start, which grows
// from minSlowStartWeight to 1.
func (m *member) slowStartWeight(now time.Duration) float64 {
	return min(1, max(minSlowStartWeight, float64(now-m.startedAt)/float64(slowStart)))
}

// hasRecentCalls reports whether a call is in flight or was a short time ago.
func (m *member) hasRecentCalls(now time.Duration) bool {
	return m.inFlight > 0 || now-m.observedAt < maxRecentAge
}

// idleWeight returns the weight of past results, which decays while no call is in
// flight.
func (m *member) idleWeight(now time.Duration) float64 {
	if m.inFlight > 0 {
		return 1
	}
	return decay(now-m.observedAt, idleHalfLife)
}

// expectedLatency returns the latency of a call in nanoseconds, without the round
// trip. It is the average of this daemon's calls or, without any, that of the
// service; a longer average in the target's last report counts if it is more than
// twice the service's. An excess over the service's average has the given weight,
// and one in a report decays with its age. The target averages the calls of all daemons and therefore shows a
// slowdown before each daemon has seen enough calls of its own.
func (m *member) expectedLatency(now time.Duration, weight, service float64) float64 {
	return m.withReport(now, m.ownLatency(weight, service), service)
}

// ownLatency is expectedLatency without the target's last report.
func (m *member) ownLatency(weight, service float64) float64 {
	if !m.latency.set {
		return service
	}
	if latency := m.latency.value; latency <= service {
		return latency
	}
	return service + (m.latency.value-service)*weight
}

// withReport raises a latency to that in the target's last report, see expectedLatency.
func (m *member) withReport(now time.Duration, latency, service float64) float64 {
	if r := float64(m.reportLatency); r > latency && r > 2*service {
		latency += (r - latency) * decay(now-m.reportedAt, idleHalfLife)
	}
	return latency
}

// applyIdleDecay decays the past results by the idle time before a call starts.
func (m *member) applyIdleDecay(now time.Duration, service float64) {
	if m.inFlight > 0 {
		return
	}
	w := m.idleWeight(now)
	if m.latency.set {
		m.latency.value = m.expectedLatency(now, w, service)
	}
	m.failureShare *= w
	m.observedAt = now
}

// observe adds a result. x is the latency in nanoseconds without the round trip.
func (m *member) observe(now time.Duration, v resultKind, x float64) {
	m.observedAt = now
	switch v {
	case succeeded:
		m.latency.observe(x, latencyAlpha)
		m.failureShare -= failureAlpha * m.failureShare
		return
	case failed:
		m.failureShare += failureAlpha * (1 - m.failureShare)
	case refused:
		m.failureShare += failureAlpha * (refusalWeight - m.failureShare)
		return
	case uninformative:
		return
	}
	// A call that failed or ended early shows a lower bound of the latency.
	if m.latency.set && x > m.latency.value {
		m.latency.observe(x, latencyAlpha)
	}
}

// slowdownAt returns the expected slowdown factor of a call that starts now. The
// factor of the last report decays to 1, because noisy neighbours on the host
// come and go.
func (m *member) slowdownAt(now time.Duration) float64 {
	if m.slowdown <= 0 {
		return 1
	}
	return 1 + (m.slowdown-1)*decay(now-m.reportedAt, slowdownHalfLife)
}

// storeReport stores a load report of the current incarnation without its number of calls.
func (m *member) storeReport(now time.Duration, r types.Report) {
	m.reportedAt = now
	m.unreachedUntil = longAgo
	m.limit = r.Limit()
	m.reportLatency = r.Latency()
	m.slowdown = r.Pace()
	m.linkFree = now + min(r.Link(), maxLinkTime)
	m.starts.store(now, r.Rate(), r.RateLasts(), r.StartIn())
	if r.Draining() {
		m.drainingUntil = now + drainHold
	}
}

// replacesLoad reports whether the number of calls in a report replaces the known one. An
// unsolicited report came without a response. All callers get such a report at the same moment,
// and would all place calls by it, so its number is used only if none of the last second is
// known.
func (m *member) replacesLoad(now time.Duration, unsolicited bool) bool {
	return !unsolicited || now-m.loadAt > maxReportHalfLife
}

// storeLoad stores the number of calls of a report.
func (m *member) storeLoad(now time.Duration, r types.Report) {
	m.loadAt, m.otherCalls = now, float64(max(0, r.InFlight()+r.Queued()-m.inFlight))
}

// slots returns the number of calls that the target runs at a time: its slots, or
// the reported limit if that is lower. An old report doesn't count: a target that isn't
// chosen because of its limit couldn't report the end of it. A cold target states how long
// its limit lasts; latency is that of a call in nanoseconds.
func (m *member) slots(now time.Duration, latency float64) float64 {
	n := max(1, m.target.Slots())
	if m.limit > 0 && now-m.reportedAt < limitMaxAge {
		n = min(n, m.limit)
	}
	return m.starts.slots(now, float64(n), latency)
}
