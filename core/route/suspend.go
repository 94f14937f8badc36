package route

import (
	"time"

	"trefoilthread/core/types"
)

const (
	// suspendFailureShare is the share of failed calls above which a target gets
	// trial calls only.
	suspendFailureShare = 0.5
	// resumeFailureShare is the share of failed calls after a good trial call. Four more failures in
	// a row suspend the target again.
	resumeFailureShare = 0.25

	// stragglerFactor times the 95 % quantile is nine times the average for
	// exponentially distributed latencies, which one call in 8,000 exceeds.
	stragglerFactor = 3
	// minStragglerAge keeps scheduling delays on shared hosts from suspending
	// targets of services with very short calls.
	minStragglerAge = 20 * time.Millisecond
	// defaultStragglerAge is used until a call of the service has succeeded.
	defaultStragglerAge = 250 * time.Millisecond

	// picksPerTrial bounds trial calls to one in 200 of this daemon's calls to the
	// service, however many daemons and suspended targets there are. With
	// pauses alone, 200 daemons send 0.9 % of the calls to one straggler, which
	// raises the 99 % latency quantile. After maxBackoff without a trial call
	// the bound doesn't hold, so that targets also resume at low call rates.
	picksPerTrial = 200

	// unreachedPause is the time for which a target is left out to whose daemon no
	// connection could be made. The next call would wait for a connection as well.
	unreachedPause = time.Second

	minBackoff = 100 * time.Millisecond
	maxBackoff = 5 * time.Second
)

// stragglerAge returns the age of a call at which its target counts as a
// straggler.
func (p *Picker) stragglerAge(m *member) time.Duration {
	d := defaultStragglerAge
	if p.latencyP95.value > 0 {
		d = max(minStragglerAge, time.Duration(stragglerFactor*p.latencyP95.value))
	}
	return d + 2*m.distance
}

func (p *Picker) suspend(now time.Duration, m *member) {
	if m.suspended {
		return
	}
	m.suspended = true
	m.backoff = minBackoff
	m.nextTrial = now + m.backoff
	if p.suspendedCount == 0 {
		p.lastTrialAt, p.lastTrialPick = now, p.picks
	}
	if m.inSubset {
		p.suspendedCount++
	}
}

func (p *Picker) resume(m *member) {
	if !m.suspended {
		return
	}
	m.suspended = false
	m.failureShare = min(m.failureShare, resumeFailureShare)
	// Calls that are still in flight may be stuck on a stalled connection, so
	// only later ones can suspend the target again.
	m.oldestSinceResume = noCall
	if m.inSubset {
		p.suspendedCount--
	}
}

// isSuspended reports whether m gets trial calls only, or none because it wasn't reached
// a moment ago. It suspends m if its oldest call is too old.
func (p *Picker) isSuspended(now time.Duration, m *member) bool {
	if now < m.unreachedUntil {
		return true
	}
	if !m.suspended && p.isStraggler(now, m) {
		p.suspend(now, m)
	}
	return m.suspended && p.suspensionsApply(p.suspendedCount)
}

// isStraggler reports whether the oldest call to m is too old.
func (p *Picker) isStraggler(now time.Duration, m *member) bool {
	return m.oldestSinceResume != noCall && p.calls.oldestAge(now, m) > p.stragglerAge(m)
}

// suspensionsApply reports whether n suspended targets of the subset are few enough.
func (p *Picker) suspensionsApply(n int) bool { return n*2 <= len(p.subset) }

// takeTrial reports whether the suspended m gets a trial call now. It moves
// the next trial, so that a second decision before Start doesn't add another.
func (p *Picker) takeTrial(now time.Duration, m *member) bool {
	if !p.isTrialDue(now, m, p.picks) {
		return false
	}
	p.lastTrialAt, p.lastTrialPick = now, p.picks
	m.nextTrial = now + m.backoff
	return true
}

// isTrialDue reports whether the suspended m gets a trial call in a decision, the given
// number of which were made with it.
func (p *Picker) isTrialDue(now time.Duration, m *member, picks uint64) bool {
	if len(p.tried) > 0 || m.trials > 0 || now < m.nextTrial || now < m.unreachedUntil {
		return false
	}
	return picks-p.lastTrialPick >= picksPerTrial || now-p.lastTrialAt >= maxBackoff
}

// finishTrial resumes m after a trial call that succeeded fast enough. Otherwise
// it schedules the next one, after twice the pause if the call was slow, failed or ran out
// of time. A call that was canceled before the straggler age, because a hedge was answered first
// or the caller left, doesn't change the pause.
func (p *Picker) finishTrial(now time.Duration, m *member, v resultKind, res Result) {
	switch v {
	case succeeded:
		if res.Latency-2*m.distance <= (p.stragglerAge(m)-2*m.distance)/stragglerFactor {
			p.resume(m)
			return
		}
		m.backoff = min(2*m.backoff, maxBackoff)
	case failed, censored:
		if v == failed || res.Outcome != types.Canceled || res.Latency > p.stragglerAge(m) {
			m.backoff = min(2*m.backoff, maxBackoff)
		}
	}
	m.nextTrial = now + m.backoff
}
