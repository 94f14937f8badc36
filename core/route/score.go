package route

import "time"

const (
	// reportHalfLife is the age at which a report has lost half its weight:
	// loads shift within milliseconds, and a report is stale on arrival.
	reportHalfLife = 50 * time.Millisecond
	// reportHorizon is the age at which a report counts no more.
	reportHorizon = 10 * reportHalfLife
	// failurePenalty is the factor that a share of failures of 1 adds. It
	// outweighs the lack of queueing at a target that fails fast.
	failurePenalty = 30
	// loadWeight counts the load of a target against the pace of its host: its
	// calls get slower as it fills, and a slow host may be a fast one again
	// before a queue there has gone.
	loadWeight = 2
	// unknownLatency holds before the first result of a service. Its value
	// matters only relative to the distances.
	unknownLatency = float64(5 * time.Millisecond)
)

// score returns the estimated wait at m in nanoseconds, with penalties.
func (p *Picker) score(now time.Duration, m *member) float64 {
	weight := m.idleWeight(now)
	latency := m.expected(now, weight, p.typical())
	if age := float64(p.calls.age(now, m) - 2*m.distance); age > 2*latency {
		latency = age / 2
	}
	load := 1 + float64(m.inFlight) + p.othersAt(now, m)
	wait := load/m.slots()*latency + float64(m.distance)
	if m.pace > 0 {
		// With a known pace the call's own time there can be told from that of
		// a call elsewhere.
		wait = (1+loadWeight*load/m.slots())*latency*m.slowness(now) + float64(m.distance)
	}
	return wait * (1 + failurePenalty*m.failures*weight) / m.warmth(now)
}

// typical returns the service's average latency in nanoseconds.
func (p *Picker) typical() float64 {
	if !p.mean.set {
		return unknownLatency
	}
	return p.mean.value
}

// othersAt returns the estimated calls of other daemons at m. An old report
// fades towards the average of all targets. Fading towards zero would make
// the targets look idle that have sent no report for the longest time.
func (p *Picker) othersAt(now time.Duration, m *member) float64 {
	age := now - m.reported
	if age > reportHorizon {
		return p.others.value
	}
	return p.others.value + (m.others-p.others.value)*decay(age, reportHalfLife)
}
