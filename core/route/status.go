package route

import (
	"cmp"
	"math"
	"time"

	"trefoilthread/core/types"
)

// Status is the state of one target as this daemon sees it.
type Status struct {
	target          types.Target
	usable          bool
	inSubset        bool
	suspended       bool
	inFlight        int
	oldestAge       time.Duration
	latency         time.Duration
	failureShare    float64
	otherCalls      float64
	slowStartWeight float64
	score           time.Duration
	reportAge       time.Duration
	nextTrial       time.Duration
}

func (p *Picker) status(now time.Duration, m *member) Status {
	w := m.idleWeight(now)
	s := Status{
		target:          m.target,
		usable:          m.isUsable(now),
		inSubset:        m.inSubset,
		suspended:       m.suspended,
		inFlight:        m.inFlight,
		oldestAge:       p.calls.oldestAge(now, m),
		latency:         time.Duration(m.expectedLatency(now, w, p.serviceLatency())),
		failureShare:    m.failureShare * w,
		otherCalls:      p.otherCallsAt(now, m),
		slowStartWeight: m.slowStartWeight(now),
		score:           time.Duration(p.score(now, m, math.Inf(1))),
		reportAge:       -1,
	}
	if m.reportedAt != longAgo {
		s.reportAge = now - m.reportedAt
	}
	if m.suspended {
		s.nextTrial = max(0, m.nextTrial-now)
	}
	return s
}

func compareStatus(a, b Status) int { return cmp.Compare(a.target.ID(), b.target.ID()) }

// Target returns the target as the membership has it.
func (s Status) Target() types.Target { return s.target }

// Usable reports whether the target takes new calls. A suspended target may.
func (s Status) Usable() bool { return s.usable }

// InSubset reports whether this daemon uses the target for calls.
func (s Status) InSubset() bool { return s.inSubset }

// Suspended reports whether the target gets trial calls only.
func (s Status) Suspended() bool { return s.suspended }

// InFlight returns the number of calls in flight from this daemon.
func (s Status) InFlight() int { return s.inFlight }

// OldestAge returns the age of this daemon's oldest call in flight that started
// since the target was last resumed, or zero.
func (s Status) OldestAge() time.Duration { return s.oldestAge }

// Latency returns the expected latency of a call without the round trip.
func (s Status) Latency() time.Duration { return s.latency }

// FailureShare returns the recent share of failed calls, from 0 to 1.
func (s Status) FailureShare() float64 { return s.failureShare }

// OtherCalls returns the estimated number of calls from other daemons. With its
// age, the last report loses weight to the average of all targets.
func (s Status) OtherCalls() float64 { return s.otherCalls }

// SlowStartWeight returns the weight of the target in its slow start, from 0.1
// to 1.
func (s Status) SlowStartWeight() float64 { return s.slowStartWeight }

// ReportAge returns the time since the last load report, or a negative value
// if there is none from this incarnation.
func (s Status) ReportAge() time.Duration { return s.reportAge }

// NextTrial returns the time until a suspended target may get a trial call, or
// zero if it may get one now or isn't suspended.
func (s Status) NextTrial() time.Duration { return s.nextTrial }

// Score returns the estimated wait with penalties, by which Weighted compares.
func (s Status) Score() time.Duration { return s.score }

// CallsInUse returns the estimated number of calls at all targets that take calls, from all
// daemons.
func (p *Picker) CallsInUse(now time.Time) float64 {
	at := p.sinceEpoch(now)
	n := 0.0
	for _, m := range p.members {
		if m.isUsable(at) {
			n += float64(m.inFlight) + p.otherCallsAt(at, m)
		}
	}
	return n
}
