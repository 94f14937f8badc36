package admit

import "time"

const (
	// maxRanks is the number of ranks, of customers and of routes each, with shares of their
	// own. Higher ranks share the last one.
	maxRanks = 8
	// rankAlpha is the weight of a call in the served share of its rank. A gate gets tens of
	// calls a second, so the share is that of the last seconds.
	rankAlpha = 1.0 / 64
	// rankMargin is the excess of a share over that of a more urgent rank that is attributed to
	// noise.
	rankMargin = 0.02
	// rankMemory is the time without a call after which a rank has no effect on others.
	rankMemory = 2 * time.Second
)

// rankShares holds how the calls of each rank were served at a gate, by the rank of the customer
// and that of the route. Refusals of calls that are PromptOnly don't count, because these are sent
// to other targets, and neither do calls whose bodies came after a Forecast, which counts no
// refusals.
type rankShares [maxRanks][maxRanks]rankShare

// rankShare is how the calls of one rank were served.
type rankShare struct {
	served    float64   // average share of calls that started
	offeredAt time.Time // latest call, zero for none
	worthRate float64   // of that call
}

func rankIndex(rank int) int { return min(max(rank, 0), maxRanks-1) }

func (s *rankShares) of(e *entry) *rankShare {
	return &s[rankIndex(e.customerRank)][rankIndex(e.rank)]
}

// recordOffer records that a call is offered.
func (s *rankShares) recordOffer(now time.Time, e *entry) {
	r := s.of(e)
	if r.offeredAt.IsZero() {
		r.served = 1
	}
	r.offeredAt, r.worthRate = now, e.worthRate
}

// recordStart counts a call that starts as served.
func (s *rankShares) recordStart(e *entry) {
	if !e.arrived {
		s.of(e).observe(1)
	}
}

// recordRefusal counts a call that was refused for lack of room.
func (s *rankShares) recordRefusal(e *entry, r reason) {
	if !e.arrived && !e.promptOnly && r != reasonDraining && r != reasonDrained {
		s.of(e).observe(0)
	}
}

func (r *rankShare) observe(x float64) { r.served += rankAlpha * (x - r.served) }

// isAhead reports whether the calls of the rank of e are served in a larger share than those of a
// more urgent route, although these have the higher worth rate.
func (s *rankShares) isAhead(now time.Time, e *entry) bool {
	served := s.of(e).served
	for _, o := range s[rankIndex(e.customerRank)][:rankIndex(e.rank)] {
		if now.Sub(o.offeredAt) < rankMemory && o.served+rankMargin < served && o.worthRate > e.worthRate {
			return true
		}
	}
	return false
}
