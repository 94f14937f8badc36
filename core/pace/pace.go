// Package pace tracks how long work takes on a target's host relative to the usual
// time, and decides when a change is large enough to report to other daemons. A pace
// of 1 is usual, 2 means that work takes twice as long.
//
// It is made for hosts with noisy neighbours, which slow the work of a target
// several times over for a few hundred milliseconds and then stop. A target reports
// its pace with each response. The daemons that call it need to learn of a large
// change before their next call, but not of every small one. A call runs to its end
// at the pace that its host had when it started, so the daemon on the host asks for
// the pace just before the start if the last one is stale.
//
// A target that has just started is slow for some seconds and says for how long.
// This warm-up isn't a slow period whose end is worth waiting for; a slow period
// that occurs during the warm-up is.
//
// # Usage
//
//	var t pace.Tracker
//	if t.Observe(now, 2.5) {
//		report(t.Current())
//	}
//	after, next := t.ExpectedRecovery(now)
//	gate.SetPace(t.Factor(), after, next)
package pace

import "time"

const (
	// minChange is the factor by which the pace must rise or fall to be reported.
	minChange = 1.3
	// minReportInterval is the shortest time between two reports.
	minReportInterval = 20 * time.Millisecond
	// maxAge is the age up to which a pace counts as current. Slow periods last a few
	// hundred milliseconds, so one in twenty ends within this time.
	maxAge = 15 * time.Millisecond
	// slowFactor is the pace from which a host counts as slow, as a multiple of its
	// pace outside of slow periods.
	slowFactor = 1.5
	// maxWarmupPace is the slowest pace that is attributed to the warm-up alone. It is
	// assumed until a lower pace has been observed.
	maxWarmupPace = 3
	// initialSlowPeriod is the expected length of a slow period before any has ended.
	initialSlowPeriod = 300 * time.Millisecond
	// slowPeriodAlpha is the weight of a new slow period in the exponentially weighted
	// average of their lengths.
	slowPeriodAlpha = 0.2
	// maxSlowPeriods is the multiple of the average length after which a slow period
	// is no longer expected to end: the host stays slow.
	maxSlowPeriods = 3
)

// Tracker tracks the pace of one target. The zero value is ready for use; its pace is
// unknown. It isn't safe for concurrent use.
type Tracker struct {
	current       float64 // 0 if unknown
	seenAt        time.Time
	noPace        bool    // the target was asked and reported no pace
	reported      float64 // pace at the last report, 0 for none
	reportedAt    time.Time
	slowSince     time.Time     // start of the current slow period, zero for none
	avgSlowPeriod time.Duration // average length of slow periods, 0 before the first pace

	warmupEnd time.Time
	lowest    float64 // lowest pace observed since the warm-up was announced, 0 for none
}

// SetWarmup records that the target says it is still warming up after its start
// and stays slow for the remaining time. A call during a warm-up moves its end.
func (t *Tracker) SetWarmup(now time.Time, remaining time.Duration) {
	if !now.Before(t.warmupEnd) {
		t.lowest = 0
	}
	t.warmupEnd = now.Add(remaining)
}

// baseline returns the pace that is expected outside of a slow period: 1, or during the
// warm-up the lowest pace observed, within 1 and maxWarmupPace.
func (t *Tracker) baseline(now time.Time) float64 {
	switch {
	case !now.Before(t.warmupEnd):
		return 1
	case t.lowest == 0:
		return maxWarmupPace
	}
	return min(max(t.lowest, 1), maxWarmupPace)
}

// Observe records a pace that the target reported and returns whether the caller should
// report it to other daemons: it differs enough from the last one reported, and that
// report isn't too recent. A pace of 0 or less is unknown and changes nothing.
func (t *Tracker) Observe(now time.Time, pace float64) bool {
	if pace <= 0 {
		return false
	}
	t.current, t.seenAt, t.noPace = pace, now, false
	if t.lowest == 0 || pace < t.lowest {
		t.lowest = pace
	}
	t.updateSlowPeriod(now)
	isChange := t.reported == 0 || pace > t.reported*minChange || pace < t.reported/minChange
	if !isChange || now.Sub(t.reportedAt) < minReportInterval {
		return false
	}
	t.reported, t.reportedAt = pace, now
	return true
}

// Current returns the last pace observed, 0 if unknown.
func (t *Tracker) Current() float64 { return t.current }

// updateSlowPeriod begins or ends a slow period according to the current pace. The length
// of one that ends enters the average, limited so that a host that stayed slow for long
// doesn't dominate it.
func (t *Tracker) updateSlowPeriod(now time.Time) {
	isSlow := t.current >= slowFactor*t.baseline(now)
	switch {
	case t.avgSlowPeriod == 0:
		t.avgSlowPeriod = initialSlowPeriod
	case !isSlow && !t.slowSince.IsZero():
		length := min(now.Sub(t.slowSince), maxSlowPeriods*t.avgSlowPeriod)
		t.avgSlowPeriod += time.Duration(float64(length-t.avgSlowPeriod) * slowPeriodAlpha)
	}
	switch {
	case !isSlow:
		t.slowSince = time.Time{}
	case t.slowSince.IsZero():
		t.slowSince = now
	}
}

// ExpectedRecovery returns the time after which the target is expected to be faster, and
// its pace from then on. In a slow period that is the average length of slow periods and
// the pace without one. Slow periods end at random, so the time doesn't depend on when this
// one began. Otherwise, in a warm-up, it is the time that the warm-up has left and 1. In all
// other cases it is 0 and 1: the target isn't slow, or has been slow for so long that it is
// expected to stay so.
func (t *Tracker) ExpectedRecovery(now time.Time) (after time.Duration, next float64) {
	isSlowPeriod := !t.slowSince.IsZero() && now.Sub(t.slowSince) <= maxSlowPeriods*t.avgSlowPeriod
	switch {
	case isSlowPeriod:
		return t.avgSlowPeriod, t.baseline(now)
	case now.Before(t.warmupEnd):
		return t.warmupEnd.Sub(now), 1
	}
	return 0, 1
}

// Factor returns the last pace observed, 1 if unknown.
func (t *Tracker) Factor() float64 {
	if t.current == 0 {
		return 1
	}
	return t.current
}

// IsStale reports whether the target should be asked for its pace before a call starts.
// It is false for a target that reports no pace.
func (t *Tracker) IsStale(now time.Time) bool { return !t.noPace && now.Sub(t.seenAt) > maxAge }

// ObserveNone records that the target was asked and reported no pace. If none is known from
// before, the target isn't worth asking again, and IsStale is false until Observe is called
// with a known pace.
func (t *Tracker) ObserveNone() { t.noPace = t.current == 0 }
