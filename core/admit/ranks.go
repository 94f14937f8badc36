package admit

import "time"

const (
	// maxRanks is the number of ranks, of customers and of routes each, with shares of their
	// own. Higher ranks share the last one.
	maxRanks = 8
	// rankAlpha is the weight of a call in the served share of its rank. A gate gets tens of
	// calls a second, so the share is that of the last seconds.
	rankAlpha = 1.0 / 64
	// rankMargin is the smallest excess of a share over that of a more urgent rank that has an
	// effect.
	rankMargin = 0.02
	// rankMaxAge is the time without a call after which a rank has no effect on others, and its
	// share begins anew.
	rankMaxAge = 2 * time.Second
)

// rankShares holds how the calls of each rank were served at a gate, by the rank of the customer
// and that of the route. Refusals of calls that are PromptOnly don't count, because these are sent
// to other targets, and neither do calls whose bodies came after a Forecast, which counts no
// refusals.
type rankShares [maxRanks][maxRanks]rankShare

// rankShare is how the calls of one rank were served.
type rankShare struct {
	served    float64   // average of 1 for calls that started and 0 for those refused, see rankShares
	offeredAt time.Time // latest call, zero for none
	worthRate float64   // of that call
}

func rankIndex(rank int) int { return min(max(rank, 0), maxRanks-1) }

func (s *rankShares) of(e *entry) *rankShare {
	return &s[rankIndex(e.customerRank)][rankIndex(e.rank)]
}

// recordOffer records that a call is offered. The share of a rank without recent calls says nothing
// about the present load: it begins anew with the lowest share of the more urgent ranks, since a
// rank with few calls would otherwise always count as better served than them.
func (s *rankShares) recordOffer(now time.Time, e *entry) {
	r := s.of(e)
	switch {
	case r.offeredAt.IsZero():
		r.served = 1
	case !r.isRecent(now):
		r.served = s.lowestShare(now, e)
	}
	r.offeredAt, r.worthRate = now, e.worthRate
}

// lowestShare returns the lowest share of the more urgent routes with recent calls, 1 without any.
func (s *rankShares) lowestShare(now time.Time, e *entry) float64 {
	lowest := 1.0
	for _, o := range s.moreUrgent(e) {
		if o.isRecent(now) {
			lowest = min(lowest, o.served)
		}
	}
	return lowest
}

// moreUrgent returns the shares of the routes that are more urgent than that of e.
func (s *rankShares) moreUrgent(e *entry) []rankShare {
	return s[rankIndex(e.customerRank)][:rankIndex(e.rank)]
}

// recordStart counts a call that starts as served.
func (s *rankShares) recordStart(e *entry) {
	if !e.arrived {
		s.of(e).observe(1)
	}
}

// recordRefusal counts a refused call. PromptOnly calls, those whose bodies have come and refusals in a
// drain don't count.
func (s *rankShares) recordRefusal(e *entry, r reason) {
	if !e.arrived && !e.promptOnly && r != reasonDraining && r != reasonDrained {
		s.of(e).observe(0)
	}
}

func (r *rankShare) observe(x float64) { r.served += rankAlpha * (x - r.served) }

// isRecent reports whether a call of the rank has been offered lately.
func (r *rankShare) isRecent(now time.Time) bool {
	age := now.Sub(r.offeredAt)
	return age >= 0 && age < rankMaxAge
}

// exceedsUrgent reports whether the calls of the rank of e are served in a larger share than those
// of a more urgent route, although these have the higher worth rate.
func (s *rankShares) exceedsUrgent(now time.Time, e *entry) bool {
	if e.customerRank >= maxRanks-1 {
		return false // customers of several ranks share these averages
	}
	served := s.of(e).served
	for _, o := range s.moreUrgent(e) {
		if o.isRecent(now) && o.served+rankMargin < served && o.worthRate > e.worthRate {
			return true
		}
	}
	return false
}
