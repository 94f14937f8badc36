package retry

import (
	"time"

	"trefoilthread/core/types"
)

const (
	// hedgeBurst is the number of unused hedges that are kept. A burst of requests gets few
	// more hedges than its own share.
	hedgeBurst = 5
	// maxHedgeLoad is the share of the slots of a service in use from which on nothing is
	// hedged. A target gets slower from 0.8 of its slots on, and a hedge then delays others
	// by more than it gains.
	maxHedgeLoad = 0.8
)

// HedgeLimit bounds the hedges of one service at one daemon by a share of its requests. What
// is used isn't returned: a canceled attempt may run on, because its cancellation may be
// lost.
type HedgeLimit struct {
	share  float64
	tokens float64
}

// NewHedgeLimit returns a limit for a share of the requests, 0 for no hedges.
func NewHedgeLimit(share float64) *HedgeLimit { return &HedgeLimit{share: share} }

// IsOff reports whether nothing is hedged at all.
func (l *HedgeLimit) IsOff() bool { return l.share <= 0 }

// RecordCall records a request, which isn't a further attempt.
func (l *HedgeLimit) RecordCall() { l.tokens = min(l.tokens+l.share, hedgeBurst) }

// HedgeView is what the decision about one hedge depends on.
type HedgeView struct {
	// IsStopping tells that this daemon stops.
	IsStopping bool
	// Load is the share of the service's slots in use, of the targets that take calls.
	Load float64
	// IsFaster tells that the other target is expected to answer sooner than the first one.
	IsFaster bool
	// IsCold tells that the other target is cold.
	IsCold bool
}

// Take decides about a hedge of a request of an urgency. If it returns NotHeld, it has used one of
// the limit and one of the retries. A denied hedge doesn't hold back less urgent requests.
func (l *HedgeLimit) Take(now time.Time, v HedgeView, retries *Budget, u types.Urgency) Hold {
	if h := l.Check(v); h != NotHeld {
		return h
	}
	if retries.denied.appliesTo(now, u) || !retries.Take(now) {
		return HeldByRetries
	}
	l.tokens--
	return NotHeld
}

// Check is Take without the retry budget. It uses nothing.
func (l *HedgeLimit) Check(v HedgeView) Hold {
	switch {
	case v.IsStopping:
		return HeldByStop
	case v.Load > maxHedgeLoad:
		return HeldByLoad
	case !v.IsFaster:
		return HeldNoFaster
	case v.IsCold:
		return HeldByCold
	case l.tokens < 1:
		return HeldByShare
	}
	return NotHeld
}
