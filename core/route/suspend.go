package route

import "time"

const (
	// suspendShare is the share of failed calls above which a target gets
	// trial calls only.
	suspendShare = 0.5
	// resumeShare is the share after a good trial call. Four more failures in
	// a row suspend the target again.
	resumeShare = 0.25

	// slowFactor times the 95 % quantile is nine times the average for
	// exponentially distributed latencies, which one call in 8,000 exceeds.
	slowFactor = 3
	// minSlow keeps services with very short calls from suspending targets
	// for scheduling delays of shared hosts.
	minSlow = 20 * time.Millisecond
	// slowUnknown holds while no call of the service has succeeded.
	slowUnknown = 250 * time.Millisecond

	// trialEvery bounds trial calls to one in 200 of this daemon's calls to the
	// service, however many daemons and suspended targets there are. With
	// pauses alone, 200 daemons sent 0.9 % of the calls to one straggler and
	// raised the 99 % latency quantile. After maxBackoff without a trial call
	// the bound doesn't hold, so that targets also resume at low rates.
	trialEvery = 200

	minBackoff = 100 * time.Millisecond
	maxBackoff = 5 * time.Second
)

// slowAfter returns the age of a call at which its target counts as a
// straggler.
func (p *Picker) slowAfter(m *member) time.Duration {
	d := slowUnknown
	if p.high.value > 0 {
		d = max(minSlow, time.Duration(slowFactor*p.high.value))
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
	if p.suspended == 0 {
		p.trialed, p.trialedPick = now, p.picks
	}
	if m.inSubset {
		p.suspended++
	}
}

func (p *Picker) resume(m *member) {
	if !m.suspended {
		return
	}
	m.suspended = false
	m.failures = min(m.failures, resumeShare)
	// The calls that are still in flight may hang on a stalled connection.
	// Only later ones may suspend the target again.
	m.watched = none
	if m.inSubset {
		p.suspended--
	}
}

// isSuspended reports whether m gets trial calls only. It suspends m if its
// oldest call is too old.
func (p *Picker) isSuspended(now time.Duration, m *member) bool {
	if !m.suspended && m.watched != none && p.calls.age(now, m) > p.slowAfter(m) {
		p.suspend(now, m)
	}
	return m.suspended && p.suspended*2 <= len(p.subset)
}

// takeTrial reports whether the suspended m gets a trial call now. It moves
// the next trial, so that a second decision before Start doesn't add another.
func (p *Picker) takeTrial(now time.Duration, m *member) bool {
	if len(p.tried) > 0 || m.trials > 0 || now < m.nextTrial {
		return false
	}
	if p.picks-p.trialedPick < trialEvery && now-p.trialed < maxBackoff {
		return false
	}
	p.trialed, p.trialedPick = now, p.picks
	m.nextTrial = now + m.backoff
	return true
}

// judgeTrial resumes m after a good trial call, or waits longer for the next.
func (p *Picker) judgeTrial(now time.Duration, m *member, v verdict, latency time.Duration) {
	switch v {
	case succeeded:
		if latency-2*m.distance <= (p.slowAfter(m)-2*m.distance)/slowFactor {
			p.resume(m)
			return
		}
		m.backoff = min(2*m.backoff, maxBackoff)
	case failed, censored:
		m.backoff = min(2*m.backoff, maxBackoff)
	}
	m.nextTrial = now + m.backoff
}
