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

const (
	modelSlots       = 12
	modelServiceTime = 5 * time.Millisecond
)

// queueModel is a deterministic queueing model: Poisson arrivals at several pickers,
// targets with slots and a queue, exponential service times.
type queueModel struct {
	pickers, targets int
	load             float64       // offered load relative to the capacity
	oneWay           time.Duration // one-way latency
	changeAt, end    time.Duration // when target 0 becomes slow or failing
	slow             float64       // factor on the service time of target 0
	fails            bool          // target 0 fails in 100 us
}

type outcome struct {
	p99                    time.Duration // of the calls from changeAt on that succeeded
	failedShare, lateShare float64       // share of failed calls; of target 0 after 100 ms
}

func (l queueModel) run(policy route.Policy) outcome {
	type event struct {
		at  time.Duration
		run func(at time.Duration)
	}
	var queue []event
	at := func(t time.Duration, f func(time.Duration)) {
		i, _ := slices.BinarySearchFunc(queue, t, func(e event, t time.Duration) int { return cmp.Compare(e.at, t) })
		queue = slices.Insert(queue, i, event{t, f})
	}
	rng := rand.New(rand.NewPCG(1, 2))
	pickers := make([]*route.Picker, l.pickers)
	for i := range pickers {
		pickers[i] = newPicker(targets(l.targets, "a"), route.Options{Self: target(i, "a").ID(), Policy: policy})
	}
	type state struct {
		inFlight int
		latency  float64 // average service time
		waiting  []func(time.Duration)
	}
	states := map[types.TargetID]*state{}
	for _, t := range targets(l.targets, "a") {
		states[t.ID()] = &state{}
	}
	var latencies []time.Duration
	failed, late := 0, map[bool]int{}

	place := func(p *route.Picker, began time.Duration) {
		t, _ := p.Pick(start.Add(began), nil)
		tok := p.Start(start.Add(began), t.ID())
		s, first := states[t.ID()], t.ID() == "t0"
		if began >= l.changeAt+ms(100) {
			late[first]++
		}
		end := func(now time.Duration, fail bool) {
			res := withReport(types.ReportSpec{
				InFlight: s.inFlight, Queued: len(s.waiting), Limit: modelSlots, Latency: time.Duration(s.latency),
			})
			at(now+l.oneWay, func(now time.Duration) {
				res.Latency, res.Failed = now-began, fail
				p.Finish(start.Add(now), tok, res)
				if began >= l.changeAt && fail {
					failed++
				} else if began >= l.changeAt {
					latencies = append(latencies, now-began)
				}
			})
		}
		serve := func(now time.Duration) {
			d := rng.ExpFloat64() * float64(modelServiceTime)
			if first && now >= l.changeAt && l.slow > 0 {
				d *= l.slow
			}
			s.inFlight++
			at(now+time.Duration(d), func(now time.Duration) {
				s.inFlight--
				s.latency += (d - s.latency) / 16
				end(now, false)
				if len(s.waiting) > 0 {
					next := s.waiting[0]
					s.waiting = s.waiting[1:]
					next(now)
				}
			})
		}
		at(began+l.oneWay, func(now time.Duration) {
			switch {
			case first && now >= l.changeAt && l.fails:
				at(now+100*time.Microsecond, func(now time.Duration) { end(now, true) })
			case s.inFlight < modelSlots:
				serve(now)
			default:
				s.waiting = append(s.waiting, serve)
			}
		})
	}
	gap := float64(modelServiceTime) / (modelSlots * float64(l.targets) * l.load)
	var arrive func(time.Duration)
	arrive = func(now time.Duration) {
		place(pickers[rng.IntN(len(pickers))], now)
		if next := now + time.Duration(rng.ExpFloat64()*gap); next < l.end {
			at(next, arrive)
		}
	}
	for at(0, arrive); len(queue) > 0; {
		e := queue[0]
		queue = queue[1:]
		e.run(e.at)
	}
	slices.Sort(latencies)
	return outcome{
		p99:         latencies[len(latencies)*99/100],
		failedShare: float64(failed) / float64(failed+len(latencies)),
		lateShare:   float64(late[true]) / float64(late[true]+late[false]),
	}
}

// Guards against a straggler that keeps its share of the calls, against short
// latencies of failures that attract calls, and against stale reports that
// are worse than none.
func TestWeightedAgainstRandom(t *testing.T) {
	way := 250 * time.Microsecond
	for name, c := range map[string]struct {
		queueModel
		good func(weighted, random outcome) bool
	}{
		"straggler": {queueModel{pickers: 10, targets: 10, load: 0.6, oneWay: way, changeAt: time.Second, end: 3 * time.Second, slow: 10},
			func(w, r outcome) bool { return w.p99 < r.p99/4 && w.lateShare < 0.01 }},
		"stragglerOfMany": {queueModel{pickers: 200, targets: 20, load: 0.6, oneWay: way, changeAt: time.Second, end: 3 * time.Second, slow: 10},
			func(w, _ outcome) bool { return w.p99 < 8*modelServiceTime && w.lateShare < 0.006 }},
		"failFast": {queueModel{pickers: 10, targets: 10, load: 0.6, oneWay: way, changeAt: time.Second, end: 3 * time.Second, fails: true},
			func(w, r outcome) bool { return w.failedShare < r.failedShare/5 && w.lateShare < 0.005 }},
		"stale": {queueModel{pickers: 200, targets: 20, load: 0.95, oneWay: 3 * way, end: 2 * time.Second},
			func(w, r outcome) bool { return w.p99 < r.p99 }},
	} {
		t.Run(name, func(t *testing.T) {
			w, r := c.run(route.Weighted), c.run(route.Random)
			t.Logf("weighted %+v, random %+v, least outstanding %+v", w, r, c.run(route.LeastOutstanding))
			is.New(t).True(c.good(w, r))
		})
	}
}
