package quota_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"trefoilthread/core/quota"
)

// deployment returns a world of 17 daemons in 3 data centres whose owners may grant.
func deployment(limit quota.Limit) *world {
	w := newWorld(3, limit)
	for i := range 17 {
		w.join(fmt.Sprint("vm", i), i%3)
	}
	w.run(20 * time.Second)
	return w
}

// demand has callers of a customer send requests a second to daemons for a time. They come
// irregularly.
func (w *world) demand(perSecond float64, d time.Duration, agents []*agent) {
	const step = 10 * time.Millisecond
	rng := rand.New(rand.NewPCG(7, 0))
	for range int(d / step) {
		for left := rng.ExpFloat64(); left < perSecond*step.Seconds(); left += rng.ExpFloat64() {
			agents[rng.IntN(len(agents))].request()
		}
		w.run(step)
	}
}

// Guards against small customers that are refused below their quota because their few
// requests come to many daemons.
func TestSmallCustomerIsServed(t *testing.T) {
	is := is.New(t)
	w := deployment(quota.Limit{PerSecond: 3.2})
	w.demand(2, 10*time.Minute, w.agents)
	is.True(len(w.ran) > 1000)
	is.Equal(len(w.noOwner), 0)
	for _, at := range w.refused {
		n := 0
		for _, r := range w.ran {
			if !r.After(at) && at.Sub(r) <= 5*time.Second {
				n++
			}
		}
		is.True(n >= 16) // 3.2 requests/s for 5 s
	}
	is.True(w.asks <= len(w.ran)*6/5) // about one message a request
}

// Guards against an unused part of a quota that stays where nobody uses it.
func TestUnusedShareMoves(t *testing.T) {
	is := is.New(t)
	w := deployment(quota.Limit{PerSecond: 90, Burst: 9})
	for centre := range 3 { // all the demand goes from one data centre to the next
		var here []*agent
		for _, a := range w.agents {
			if a.dc == w.centres[centre] {
				here = append(here, a)
			}
		}
		w.demand(70, time.Second, here)
		before := len(w.refused)
		w.demand(70, 5*time.Second, here)
		is.True(len(w.refused)-before < 10) // of 350
		is.Equal(len(w.noOwner), 0)
	}
}

// Guards against a customer far over its quota that costs a message for each request, or
// gets less than its quota.
func TestHotCustomer(t *testing.T) {
	is := is.New(t)
	w := deployment(quota.Limit{PerSecond: 200, Burst: 50})
	w.demand(1500, 10*time.Second, w.agents)
	is.True(len(w.ran) >= 1900) // of 2,000
	is.True(float64(most(w.ran, 5*time.Second)) <= (200*5+50)*1.1+20)
	is.Equal(len(w.noOwner), 0)
	is.True(w.asks < 15_000/2)
	t.Logf("%d ran, %d refused, %d asks", len(w.ran), len(w.refused), w.asks)
}

// Guards against a data centre that gets nothing while it is cut off from the others, and
// from a failed owner that costs more than its part.
func TestCutDataCentreKeepsItsPart(t *testing.T) {
	is := is.New(t)
	w := deployment(quota.Limit{PerSecond: 90, Burst: 9})
	whole := w.fate
	w.fate = func(from, to *agent) []time.Duration {
		if (from.dc == w.centres[0]) != (to.dc == w.centres[0]) {
			return nil
		}
		return whole(from, to)
	}
	var here, others []*agent
	for _, a := range w.agents {
		if a.dc == w.centres[0] {
			a.isCut = true
			here = append(here, a)
		} else {
			others = append(others, a)
		}
	}
	w.demand(20, 4*time.Second, here)
	is.True(len(w.ran) > 60)
	is.Equal(len(w.refused)+len(w.noOwner), 0)
	before := len(w.ran)
	w.demand(55, 5*time.Second, others)
	is.True(len(w.ran)-before > 240) // of about 275
	is.True(len(w.refused) < 12)
	is.Equal(len(w.noOwner), 0)
	w.demand(20, time.Second, here)
	is.True(len(w.noOwner) > 0) // no recent knowledge
}
