package route

import "time"

// startLimit is what a target reports that takes only some calls a second.
type startLimit struct {
	rate      float64       // calls a second, 0 for no limit
	endsAt    time.Duration // the limit holds until then unless a later report ends it
	nextStart time.Duration // the target can start a further call then
}

// store stores the limit of a report. perSecond is 0 if it has none.
func (l *startLimit) store(now time.Duration, perSecond float64, lasts, startIn time.Duration) {
	*l = startLimit{}
	if perSecond > 0 {
		*l = startLimit{rate: perSecond, endsAt: now + lasts, nextStart: now + startIn}
	}
}

// isActive reports whether the limit holds.
func (l *startLimit) isActive(now time.Duration) bool { return l.rate > 0 && now < l.endsAt }

// record counts a call of this daemon, which takes a start that the report has seen as free.
func (l *startLimit) record(now time.Duration) {
	if l.isActive(now) {
		l.nextStart = max(l.nextStart, now) + time.Duration(float64(time.Second)/l.rate)
	}
}

// delay returns the time until the target can start a further call.
func (l *startLimit) delay(now time.Duration) time.Duration {
	if !l.isActive(now) {
		return 0
	}
	return max(0, l.nextStart-now)
}

// slots returns the number of calls of a given latency in nanoseconds that run at a time at
// the limit, at most n. It may be a fraction: with one slot for calls of 35 ms, a target that
// takes 13 calls a second would look as if it took 28.
func (l *startLimit) slots(now time.Duration, n, latency float64) float64 {
	if !l.isActive(now) {
		return n
	}
	return min(n, l.rate*latency/float64(time.Second))
}
