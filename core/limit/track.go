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
	// warmUp is the number of samples before the minimum is used: the average of
	// a few calls can be far below the mean.
	warmUp = 64
	// medianStep is the relative step of the running median.
	medianStep = 1.0 / 16
	// maxHalvings bounds the decay of an estimate without new samples.
	maxHalvings = 20
)

// track has the averages, in nanoseconds, of one kind of call.
type track struct {
	fast, slow, median float64
	floor              floor
	last               time.Time
	count              uint64
}

func (t *track) add(now time.Time, window time.Duration, service time.Duration) {
	v := float64(max(service, time.Microsecond))
	if t.count == 0 {
		t.median = v
	}
	t.count++
	t.fast += (v - t.fast) * max(fastWeight, 1/float64(t.count))
	t.slow += (v - t.slow) * max(slowWeight, 1/float64(t.count))
	if v > t.median {
		t.median = min(v, t.median*(1+medianStep))
	} else {
		t.median = max(v, t.median*(1-medianStep))
	}
	t.last = now
	if t.count >= warmUp {
		t.floor.add(now, window, t.slow)
	}
}

// ratio returns the latency relative to its long-term minimum, 1 if unknown.
func (t *track) ratio() float64 {
	if t.count < warmUp {
		return 1
	}
	return t.fast / t.floor.value()
}

// decayed halves v for each second without samples. Estimates decide whether
// calls are refused; without decay, an estimate that refuses every call would
// never be corrected.
func (t *track) decayed(now time.Time, v float64) time.Duration {
	idle := now.Sub(t.last)
	if idle < time.Second {
		return time.Duration(v)
	}
	return time.Duration(v) >> min(int64(idle/time.Second), maxHalvings)
}
