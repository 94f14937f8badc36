package route_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"trefoilthread/core/route"
	"trefoilthread/core/types"
)

// Guards against a target that comes back into service and gets no call, because the only
// one in use has a lower average than the service, which stands for targets without recent
// calls (session operators: 28 of 28 calls, about one a second). The average of the target
// in use follows its calls faster than the service's, so this takes only a first call that
// is faster than the next ones.
func TestResumedTargetIsTried(t *testing.T) {
	const seeds, calls = 50, 20
	for name, latency := range map[string]func(k int, r *rand.Rand) time.Duration{
		"load begins": func(k int, _ *rand.Rand) time.Duration { return ms(12 + 18*min(k, 1)) },
		"load varies": func(_ int, r *rand.Rand) time.Duration { return ms(10 + r.IntN(40)) },
	} {
		for _, first := range []time.Duration{0, ms(120)} {
			starved := 0
			for seed := range uint64(seeds) {
				if callsUntilTried(seed, calls, first, latency) == calls {
					starved++
				}
			}
			t.Logf("%s, own call of %s before: %d of %d", name, first, starved, seeds)
			is.New(t).Equal(starved, 0)
		}
	}
}

// callsUntilTried returns how many of n calls, one a second, pass until a target that was
// resumed after the first of them gets one. If first isn't zero, the target has had a call
// of that latency before.
func callsUntilTried(seed uint64, n int, first time.Duration, latency func(int, *rand.Rand) time.Duration) int {
	r := rand.New(rand.NewPCG(seed, 0))
	resumed, other := target(0, "a").WithState(types.Draining), target(1, "b")
	p := newPicker([]types.Target{resumed, other}, route.Options{Self: "t0", DataCentre: "a", Seed: seed})
	if first > 0 {
		completeCall(p, start, resumed.ID(), route.Result{Latency: first})
	}
	for k := range n {
		now := start.Add(time.Duration(k) * time.Second)
		x, _ := p.Pick(now, nil)
		if x.ID() == resumed.ID() {
			return k
		}
		tok, d := p.Start(now, x.ID()), latency(k, r)
		p.Finish(now.Add(d), tok, route.Result{
			Latency: d, HasReport: true, Report: types.NewReport(types.ReportSpec{InFlight: 1, Limit: 12, Incarnation: 1}),
		})
		if k == 0 {
			p.Update(now.Add(d), []types.Target{resumed.WithState(types.Up), other})
		}
	}
	return n
}

// Guards against a call that explores a target though a fresh report says that it is slow, and
// against a report that keeps a target from being explored when it is old.
func TestFreshReportKeepsFromExploring(t *testing.T) {
	for _, age := range []time.Duration{0, 10 * time.Second} {
		is := is.New(t)
		p, list := warmedPicker(2)
		now := start.Add(20 * time.Second) // t1 has had no call meanwhile
		p.ApplyReport(now.Add(-age), "t1", types.NewReport(types.ReportSpec{Latency: time.Second, Limit: 12, Incarnation: 1}))
		for range 4 {
			completeCall(p, now, "t0", route.Result{Latency: ms(2)})
			p.Start(now, "t0") // its load makes an idle target the better choice
		}
		picked := countPicks(p, now, 20)
		is.Equal(picked[list[1].ID()] > 0, age > 0)
	}
}
