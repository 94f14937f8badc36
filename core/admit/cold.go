package admit

import (
	"slices"
	"time"

	"golang.org/x/time/rate"
)

// SetColdRate limits the starts of calls at a cold target, beside the limit of SetRate; a
// rate of 0 ends that. The limiter begins without unused starts, and with debt starts to be
// made up for, since those of the last moments may fall into the same second. Waiting calls
// that can no longer start within their goal are refused (see Pending).
func (g *Gate) SetColdRate(now time.Time, perSecond float64, burst, debt int) {
	if perSecond <= 0 {
		g.cold = nil
		return
	}
	limit := rate.Limit(max(perSecond, minRate))
	if g.cold != nil {
		g.cold.SetLimitAt(now, limit)
		g.cold.SetBurstAt(now, max(1, burst))
		return
	}
	g.cold = rate.NewLimiter(limit, max(1, burst))
	for range max(1, burst) + debt {
		g.cold.ReserveN(now, 1)
	}
	g.dropBeyondCold(now)
}

// ColdRate returns the limit of SetColdRate in calls a second, 0 for none, and the time until
// it allows a start in addition to those of the calls that wait.
func (g *Gate) ColdRate(now time.Time) (perSecond float64, startIn time.Duration) {
	if g.cold == nil {
		return 0, 0
	}
	return float64(g.cold.Limit()), limiterDelay(g.cold, now, g.waiting()+1)
}

// isBeyondCold reports whether the limit for a cold target lets e start only after its goal,
// if n calls start before it. Such a call doesn't wait until its deadline: its caller finds
// a place at another target, or learns at once that there is none.
func (g *Gate) isBeyondCold(now time.Time, e *entry, n int) bool {
	return g.cold != nil && !e.goal.IsZero() && now.Add(limiterDelay(g.cold, now, n+1)).After(e.goal)
}

// dropBeyondCold refuses the waiting calls that a cold target can't start within their goal.
func (g *Gate) dropBeyondCold(now time.Time) {
	if g.cold == nil {
		return
	}
	var list []*entry
	for _, q := range []*queue{&g.urgent, &g.normal} {
		first := len(list)
		list = append(list, q.items...)
		slices.SortFunc(list[first:], func(a, b *entry) int {
			if q.before(a, b) {
				return -1
			}
			return 1
		})
	}
	ahead := 0
	for _, e := range list {
		if g.isBeyondCold(now, e, ahead) {
			g.drop(e, reasonCold)
			continue
		}
		ahead++
	}
}

// limiterDelay returns the time until a limiter has allowed n more starts, 0 for none.
func limiterDelay(l *rate.Limiter, now time.Time, n int) time.Duration {
	if l == nil {
		return 0
	}
	missing := max(0, float64(n)-l.TokensAt(now))
	return time.Duration(missing / float64(l.Limit()) * float64(time.Second))
}
