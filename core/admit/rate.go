package admit

import (
	"math"
	"time"

	"golang.org/x/time/rate"
)

const (
	// rateBurst is the time whose unused starts may be made up for.
	rateBurst = 250 * time.Millisecond
	// minRate is the lowest limit in calls a second. A target is called now and then even if
	// it takes nothing, because only an answer can say that this has ended.
	minRate = 0.25
)

// SetRate limits the calls that start in a second; 0 and NaN remove the limit. Calls beyond it
// wait for their turn, or are refused if that comes too late for them.
func (g *Gate) SetRate(now time.Time, perSecond float64) {
	if perSecond <= 0 || math.IsNaN(perSecond) {
		g.rate = nil
		return
	}
	limit := rate.Limit(max(perSecond, minRate))
	burst := max(1, int(float64(limit)*rateBurst.Seconds()))
	if g.rate == nil {
		g.rate = rate.NewLimiter(limit, burst)
		return
	}
	g.rate.SetLimitAt(now, limit)
	g.rate.SetBurstAt(now, burst)
}

// allowsStart reports whether the rate limit allows a call to start now.
func (g *Gate) allowsStart(now time.Time) bool {
	return (g.rate == nil || g.rate.TokensAt(now) >= 1) && (g.cold == nil || g.cold.TokensAt(now) >= 1)
}

// recordStart counts a call that starts now.
func (g *Gate) recordStart(now time.Time) {
	if g.rate != nil {
		g.rate.AllowN(now, 1)
	}
	if g.cold != nil {
		g.cold.AllowN(now, 1)
	}
}

// rateDelay returns the time until the rate limits have allowed n more starts.
func (g *Gate) rateDelay(now time.Time, n int) time.Duration {
	return max(limiterDelay(g.rate, now, n), limiterDelay(g.cold, now, n))
}

// effectiveSlots returns the number of calls that run at a time when the target is fully
// used: fewer than maxRunning if the rate limit doesn't allow so many starts.
func (g *Gate) effectiveSlots() int {
	n := g.maxRunning()
	for _, l := range []*rate.Limiter{g.rate, g.cold} {
		if l != nil {
			started := float64(l.Limit()) * g.limit.Latency().Seconds()
			n = min(n, max(1, int(math.Ceil(started))))
		}
	}
	return n
}
