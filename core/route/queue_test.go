package route_test

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"trefoilthread/core/route"
	"trefoilthread/core/types"
)

// loop is a deterministic queueing model: Poisson arrivals at several pickers,
// targets with slots and a queue, exponential service times.
type loop struct {
	policy   route.Policy
	pickers  int
	targets  int
	load     float64       // offered load relative to the capacity
	way      time.Duration // one-way latency
	changeAt time.Duration // when target 0 becomes slow or failing
	slow     float64       // factor on the service time of target 0
	fails    bool          // target 0 fails in 100 us
	end      time.Duration
}

type outcome struct {
	p99    time.Duration // of the calls from changeAt on that succeeded
	failed float64       // share of the calls from changeAt on
	late   float64       // share of target 0 from 100 ms after changeAt on
}

type event struct {
	at  time.Duration
	run func(at time.Duration)
}

const (
	loopSlots = 12
	loopMean  = 5 * time.Millisecond
)

func (l loop) run() outcome {
	var queue []event
	at := func(t time.Duration, f func(time.Duration)) {
		i, _ := slices.BinarySearchFunc(queue, t, func(e event, t time.Duration) int { return cmp.Compare(e.at, t) })
		queue = slices.Insert(queue, i, event{t, f})
	}
	rng := rand.New(rand.NewPCG(1, 2))

	members := make([]types.Target, l.targets)
	index := map[types.TargetID]int{}
	for i := range members {
		members[i] = target(i, "a")
		index[members[i].ID()] = i
	}
	pickers := make([]*route.Picker, l.pickers)
	for i := range pickers {
		pickers[i] = route.New(route.Options{Self: target(i, "a").ID(), Seed: uint64(i), Policy: l.policy})
		pickers[i].Update(start, members)
	}

	type state struct {
		inFlight int
		waiting  []func(time.Duration)
	}
	states := make([]state, l.targets)
	var latencies []time.Duration
	var failed, late, late0 int

	place := func(p *route.Picker, began time.Duration) {
		t, _ := p.Pick(start.Add(began), nil)
		n := index[t.ID()]
		s := &states[n]
		tok := p.Start(start.Add(began), t.ID())
		if began >= l.changeAt+ms(100) {
			late++
			if n == 0 {
				late0++
			}
		}
		end := func(now time.Duration, fail bool) {
			r := types.NewReport(types.ReportSpec{InFlight: s.inFlight, Queued: len(s.waiting), Limit: loopSlots})
			at(now+l.way, func(now time.Duration) {
				res := route.Result{Latency: now - began, Failed: fail, Report: r, HasReport: true}
				p.Finish(start.Add(now), tok, res)
				if began >= l.changeAt && fail {
					failed++
				} else if began >= l.changeAt {
					latencies = append(latencies, now-began)
				}
			})
		}
		serve := func(now time.Duration) {
			d := time.Duration(rng.ExpFloat64() * float64(loopMean))
			if n == 0 && now >= l.changeAt && l.slow > 0 {
				d = time.Duration(float64(d) * l.slow)
			}
			s.inFlight++
			at(now+d, func(now time.Duration) {
				s.inFlight--
				end(now, false)
				if len(s.waiting) > 0 {
					next := s.waiting[0]
					s.waiting = s.waiting[1:]
					next(now)
				}
			})
		}
		at(began+l.way, func(now time.Duration) {
			switch {
			case n == 0 && now >= l.changeAt && l.fails:
				at(now+100*time.Microsecond, func(now time.Duration) { end(now, true) })
			case s.inFlight < loopSlots:
				serve(now)
			default:
				s.waiting = append(s.waiting, serve)
			}
		})
	}

	gap := float64(loopMean) / (loopSlots * float64(l.targets) * l.load)
	var arrive func(time.Duration)
	arrive = func(now time.Duration) {
		place(pickers[rng.IntN(len(pickers))], now)
		if next := now + time.Duration(rng.ExpFloat64()*gap); next < l.end {
			at(next, arrive)
		}
	}
	at(0, arrive)
	for len(queue) > 0 {
		e := queue[0]
		queue = queue[1:]
		e.run(e.at)
	}
	slices.Sort(latencies)
	return outcome{
		p99:    latencies[len(latencies)*99/100],
		failed: float64(failed) / float64(failed+len(latencies)),
		late:   float64(late0) / float64(late),
	}
}

var (
	straggler  = loop{pickers: 10, targets: 10, load: 0.6, way: 250 * time.Microsecond, changeAt: time.Second, slow: 10, end: 3 * time.Second}
	failFast   = loop{pickers: 10, targets: 10, load: 0.6, way: 250 * time.Microsecond, changeAt: time.Second, fails: true, end: 3 * time.Second}
	staleLoads = loop{pickers: 200, targets: 20, load: 0.95, way: 750 * time.Microsecond, end: 2 * time.Second}
)

func compare(t *testing.T, name string, l loop) (weighted, random outcome) {
	t.Helper()
	l.policy = route.Weighted
	weighted = l.run()
	l.policy = route.Random
	random = l.run()
	l.policy = route.LeastOutstanding
	t.Logf("%s: weighted %+v, random %+v, least outstanding %+v", name, weighted, random, l.run())
	return weighted, random
}

// Guards against a straggler that keeps its share of the calls.
func TestStragglerLosesTraffic(t *testing.T) {
	is := is.New(t)
	weighted, random := compare(t, "straggler", straggler)
	is.True(weighted.p99 < random.p99/4)
	is.True(weighted.late < 0.01)
}

// Guards against short latencies of failures that attract traffic.
func TestFailFastTargetLosesTraffic(t *testing.T) {
	is := is.New(t)
	weighted, random := compare(t, "fail-fast", failFast)
	is.True(weighted.late < 0.005)
	is.True(weighted.failed < random.failed/5)
}

// Guards against reports that are worse than none once they are stale.
func TestStaleReportsStillHelp(t *testing.T) {
	is := is.New(t)
	weighted, random := compare(t, "stale", staleLoads)
	is.True(weighted.p99 < random.p99)
}
