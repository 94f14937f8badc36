package route

import "time"

const (
	// minReportHalfLife and maxReportHalfLife bound the age at which a report has lost half
	// its weight. A target that isn't chosen because of its report sends no other.
	minReportHalfLife = 50 * time.Millisecond
	maxReportHalfLife = time.Second
	// latenciesPerHalfLife is the half-life in average call latencies: the load of a target
	// changes as its calls end (docs/findings/placement.md).
	latenciesPerHalfLife = 4
	// reportHalfLives is the number of half-lives after which a report is ignored.
	reportHalfLives = 10
	// failurePenalty is the multiple of the wait that a failure share of 1 adds. It
	// outweighs the lack of queueing at a target that fails fast.
	failurePenalty = 30
	// loadWeight is the weight of a target's load relative to the slowdown of its
	// host: calls get slower as the target fills, and a slow host may recover
	// before a queue elsewhere has drained.
	loadWeight = 2
	// defaultLatency is used before the first result of a service. Its value
	// matters only relative to the distances.
	defaultLatency = float64(5 * time.Millisecond)
)

// score returns the estimated wait at m in nanoseconds, with penalties. The expected
// latency of a call, in nanoseconds as well, counts up to the given bound.
func (p *Picker) score(now time.Duration, m *member, bound float64) float64 {
	weight := m.idleWeight(now)
	service := p.serviceLatency()
	latency := m.withReport(now, min(bound, m.ownLatency(weight, service)), service)
	if age := float64(p.calls.oldestAge(now, m) - 2*m.distance); age > 2*latency {
		latency = age / 2
	}
	load := 1 + float64(m.inFlight) + p.otherCallsAt(now, m)
	slots := m.slots(now, latency)
	wait := load/slots*latency + float64(p.transferTime(now, m))
	if m.slowdown > 0 {
		// With a known slowdown, the service time of a call here differs from that
		// of a call elsewhere and therefore counts.
		wait = (1+loadWeight*load/slots)*latency*m.slowdownAt(now) + float64(p.transferTime(now, m))
	}
	wait += float64(m.starts.delay(now))
	return wait * (1 + failurePenalty*m.failureShare*weight) / m.slowStartWeight(now)
}

// serviceLatency returns the service's average latency in nanoseconds, without
// the round trip.
func (p *Picker) serviceLatency() float64 {
	if !p.meanLatency.set {
		return defaultLatency
	}
	return p.meanLatency.value
}

// otherCallsAt returns the estimated number of calls from other daemons at m. An
// old report decays to the average of all targets. If it decayed to zero, the
// targets without a recent report would look idle.
func (p *Picker) otherCallsAt(now time.Duration, m *member) float64 {
	age, halfLife := now-m.loadAt, p.reportHalfLife()
	if age > reportHalfLives*halfLife {
		return p.meanOtherCalls.value
	}
	return p.meanOtherCalls.value + (m.otherCalls-p.meanOtherCalls.value)*decay(age, halfLife)
}

// reportHalfLife returns the age at which a report has lost half its weight.
func (p *Picker) reportHalfLife() time.Duration {
	return max(minReportHalfLife, min(time.Duration(latenciesPerHalfLife*p.serviceLatency()), maxReportHalfLife))
}
