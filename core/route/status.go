package route

import (
	"cmp"
	"time"

	"trefoilthread/core/types"
)

// Status is the state of one target as this daemon sees it, for operators.
type Status struct {
	target    types.Target
	usable    bool
	inSubset  bool
	suspended bool
	inFlight  int
	oldest    time.Duration
	latency   time.Duration
	failures  float64
	others    float64
	warmth    float64
	score     time.Duration
	reportAge time.Duration
	nextTrial time.Duration
}

func (p *Picker) status(now time.Duration, m *member) Status {
	w := m.idleWeight(now)
	s := Status{
		target:    m.target,
		usable:    m.isUsable(now),
		inSubset:  m.inSubset,
		suspended: m.suspended,
		inFlight:  m.inFlight,
		oldest:    p.calls.age(now, m),
		latency:   time.Duration(m.expected(now, w, p.typical())),
		failures:  m.failures * w,
		others:    p.othersAt(now, m),
		warmth:    m.warmth(now),
		score:     time.Duration(p.score(now, m)),
		reportAge: -1,
	}
	if m.reported != never {
		s.reportAge = now - m.reported
	}
	if m.suspended {
		s.nextTrial = max(0, m.nextTrial-now)
	}
	return s
}

func compareStatus(a, b Status) int { return cmp.Compare(a.target.ID(), b.target.ID()) }

// Target returns the target as the membership has it.
func (s Status) Target() types.Target { return s.target }

// Usable reports whether the target takes new calls.
func (s Status) Usable() bool { return s.usable }

// InSubset reports whether this daemon uses the target for calls.
func (s Status) InSubset() bool { return s.inSubset }

// Suspended reports whether the target gets trial calls only.
func (s Status) Suspended() bool { return s.suspended }

// InFlight returns the own calls in flight.
func (s Status) InFlight() int { return s.inFlight }

// Oldest returns the age of the oldest own call that started since the target
// was last resumed, or zero.
func (s Status) Oldest() time.Duration { return s.oldest }

// Latency returns the expected latency of a call without the way.
func (s Status) Latency() time.Duration { return s.latency }

// Failures returns the recent share of failed calls, from 0 to 1.
func (s Status) Failures() float64 { return s.failures }

// Others returns the estimated calls of other daemons, by the last report and,
// with its age, by the average of all targets.
func (s Status) Others() float64 { return s.others }

// Warmth returns the progress of the slow start, from 0.1 to 1.
func (s Status) Warmth() float64 { return s.warmth }

// ReportAge returns the time since the last load report, or a negative value
// if there is none from this incarnation.
func (s Status) ReportAge() time.Duration { return s.reportAge }

// NextTrial returns the time until a suspended target may get a trial call, or
// zero if it may get one now or isn't suspended.
func (s Status) NextTrial() time.Duration { return s.nextTrial }

// Score returns the estimated wait with penalties, by which Weighted compares.
func (s Status) Score() time.Duration { return s.score }
