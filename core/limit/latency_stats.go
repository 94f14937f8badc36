package limit

import "time"

const (
	// fastWeight makes the fast average exceed twice the minimum within about
	// eleven calls after latency triples.
	fastWeight = 1.0 / 16
	// slowWeight keeps the relative deviation of the slow average under 9 % for
	// exponential service times; the minimum of a less smooth average would be
	// far below the mean.
	slowWeight = 1.0 / 64
	// warmUpSamples is the number of samples after which the minimum is used: the
	// average of fewer calls can be far below the mean.
	warmUpSamples = 64
	// medianStep is the relative step of the running median.
	medianStep = 1.0 / 16
	// maxHalvings bounds the decay of an estimate without new samples.
	maxHalvings = 20
)

// latencyStats holds the latency averages, in nanoseconds, of one kind of call.
type latencyStats struct {
	fastMean, slowMean, median float64
	minimum                    windowedMin
	lastSample                 time.Time
	count                      uint64
}

func (s *latencyStats) add(now time.Time, window time.Duration, service time.Duration) {
	v := float64(max(service, time.Microsecond))
	if s.count == 0 {
		s.median = v
	}
	s.count++
	s.fastMean += (v - s.fastMean) * max(fastWeight, 1/float64(s.count))
	s.slowMean += (v - s.slowMean) * max(slowWeight, 1/float64(s.count))
	if v > s.median {
		s.median = min(v, s.median*(1+medianStep))
	} else {
		s.median = max(v, s.median*(1-medianStep))
	}
	s.lastSample = now
	if s.count >= warmUpSamples {
		s.minimum.add(now, window, s.slowMean)
	}
}

// latencyRatio returns the ratio of the latency to its long-term minimum, 1 if
// unknown.
func (s *latencyStats) latencyRatio() float64 {
	if s.count < warmUpSamples {
		return 1
	}
	return s.fastMean / s.minimum.value()
}

// decayed returns the estimate v halved for each full second without samples.
// Estimates decide whether calls are refused; without decay, an estimate that
// causes every call to be refused would never be corrected.
func (s *latencyStats) decayed(now time.Time, v float64) time.Duration {
	idle := now.Sub(s.lastSample)
	if idle < time.Second {
		return time.Duration(v)
	}
	return time.Duration(v) >> min(int64(idle/time.Second), maxHalvings)
}
