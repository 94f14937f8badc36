package retry_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"trefoilthread/core/retry"
	"trefoilthread/core/route"
	"trefoilthread/core/types"
)

const (
	simTargets, simSlots = 6, 9
	simWork              = 100 * time.Millisecond
	simTime              = 80 * time.Second
	simWindow            = 10 * time.Second
)

// scene is the load and the pace of the hosts at a time.
type scene struct {
	rate func(at time.Duration) float64 // share of all slots
	pace func(target int, at time.Duration) float64
}

// run is one attempt at a simulated target.
type run struct {
	request *request
	token   route.Token
	begin   time.Time // when it was sent
	end     time.Time // zero while it waits
	service time.Duration
}

type request struct {
	arrived time.Time
	tried   []types.TargetID
	hedged  bool
	done    bool
}

// hedgeSim is a daemon that sends all requests to targets with slots and a queue.
type hedgeSim struct {
	scene    scene
	lost     bool // cancellations are lost: the loser runs to its end
	rng      *rand.Rand
	now      time.Time
	picker   *route.Picker
	hedger   *retry.Hedger
	limit    *retry.HedgeLimit
	budget   *retry.Budget
	runs     [simTargets][]*run
	open     []*request
	took     []time.Duration
	callsAt  []time.Time
	hedgesAt []time.Time
	holds    map[retry.Hold]int
}

func (s *hedgeSim) send(q *request, id types.TargetID) {
	i := int(id[0] - '0')
	q.tried = append(q.tried, id)
	s.runs[i] = append(s.runs[i], &run{
		request: q, token: s.picker.Start(s.now, id), begin: s.now,
		service: time.Duration((0.5 + s.rng.Float64()) * float64(simWork)),
	})
}

// step starts, ends and cancels the calls of target i.
func (s *hedgeSim) step(i int) {
	at := s.now.Sub(start)
	var left []*run
	for _, r := range s.runs[i] {
		switch {
		case r.request.done && !s.lost:
			s.picker.Finish(s.now, r.token, route.Result{Outcome: types.Canceled})
			continue
		case !r.end.IsZero() && !s.now.Before(r.end):
			s.finish(i, r)
			continue
		case r.end.IsZero() && len(left) < simSlots:
			r.end = s.now.Add(time.Duration(float64(r.service) * s.scene.pace(i, at)))
		}
		left = append(left, r)
	}
	s.runs[i] = left
}

func (s *hedgeSim) finish(i int, r *run) {
	s.picker.Finish(s.now, r.token, route.Result{
		Outcome: types.Done, Latency: s.now.Sub(r.begin), HasReport: true,
		Report: types.NewReport(types.ReportSpec{
			InFlight: min(simSlots, len(s.runs[i])), Queued: max(0, len(s.runs[i])-simSlots), Limit: simSlots,
			Latency: simWork, Pace: s.scene.pace(i, s.now.Sub(start)),
		}),
	})
	if !r.request.done {
		r.request.done = true
		s.took = append(s.took, s.now.Sub(r.request.arrived))
		s.hedger.RecordLatency(s.now, s.now.Sub(r.request.arrived))
	}
}

func (s *hedgeSim) hedge(q *request) {
	delay, ok := s.hedger.Delay(s.now)
	if q.done || q.hedged || !ok || s.limit.IsOff() || s.now.Sub(q.arrived) < delay {
		return
	}
	q.hedged = true
	t, isFaster := s.picker.PickFaster(s.now, q.tried, 0)
	hold := s.limit.Take(s.now, retry.HedgeView{Load: s.picker.Load(s.now), IsFaster: isFaster}, s.budget, types.Urgency{})
	s.holds[hold]++
	if hold == retry.NotHeld {
		s.hedgesAt = append(s.hedgesAt, s.now)
		s.send(q, t.ID())
	}
}

func simulateHedges(sc scene, share float64, lost bool) *hedgeSim {
	s := &hedgeSim{
		scene: sc, lost: lost, rng: rand.New(rand.NewPCG(7, 8)), now: start, holds: make(map[retry.Hold]int),
		picker: route.New(route.Options{Self: "self", Seed: 9}), hedger: retry.NewHedger(retry.HedgerOptions{Quantile: 0.9}),
		limit: retry.NewHedgeLimit(share), budget: retry.NewBudget(retry.BudgetOptions{Share: 0.2}),
	}
	var targets []types.Target
	for i := range simTargets {
		targets = append(targets, types.NewTarget(types.TargetSpec{ID: types.TargetID(fmt.Sprint(i)), Slots: simSlots, State: types.Up}))
	}
	s.picker.Update(s.now, targets)
	for s.now.Before(start.Add(simTime)) {
		s.now = s.now.Add(time.Millisecond)
		rate := s.scene.rate(s.now.Sub(start)) * simTargets * simSlots / simWork.Seconds() / 1000
		for s.rng.Float64() < rate/(1+rate) { // geometric with the mean rate
			s.budget.RecordCall(s.now)
			s.limit.RecordCall()
			s.callsAt = append(s.callsAt, s.now)
			q := &request{arrived: s.now}
			if t, ok := s.picker.Pick(s.now, nil); ok {
				s.send(q, t.ID())
				s.open = append(s.open, q)
			}
		}
		for i := range s.runs {
			s.step(i)
		}
		s.open = slices.DeleteFunc(s.open, func(q *request) bool {
			s.hedge(q)
			return q.done
		})
	}
	return s
}

// p99 returns the latency that one in a hundred requests exceeds.
func (s *hedgeSim) p99() time.Duration {
	slices.Sort(s.took)
	return s.took[len(s.took)*99/100]
}

// worstWindow returns the largest number of hedges beyond a share of the requests in any
// window.
func (s *hedgeSim) worstWindow(share float64) float64 {
	worst := 0.0
	for i, from := range s.hedgesAt {
		end := from.Add(simWindow)
		hedges, calls := 0, 0
		for _, at := range s.hedgesAt[i:] {
			if at.Before(end) {
				hedges++
			}
		}
		lo, _ := slices.BinarySearchFunc(s.callsAt, from, time.Time.Compare)
		hi, _ := slices.BinarySearchFunc(s.callsAt, end, time.Time.Compare)
		calls = hi - lo
		worst = max(worst, float64(hedges)-share*float64(calls))
	}
	return worst
}

// Guards against hedges beyond the limit in any window, also while cancellations are lost,
// against hedges that make responses slower when everything is slow or in a burst, and
// against a limit that leaves no hedge where a few hosts are slow.
func TestHedgesUnderLoads(t *testing.T) {
	steady := func(load float64) func(time.Duration) float64 { return func(time.Duration) float64 { return load } }
	slowHost := func(i int, at time.Duration) float64 {
		if rand.New(rand.NewPCG(uint64(i), uint64(at/(300*time.Millisecond)))).IntN(8) == 0 {
			return 4
		}
		return 1
	}
	usual := func(int, time.Duration) float64 { return 1 }
	for _, tc := range []struct {
		name  string
		scene scene
		share float64
		gain  float64 // largest ratio of the p99 to that without hedges
		most  float64 // hedges per request
	}{
		{"a few slow hosts", scene{steady(0.4), slowHost}, 0.1, 0.9, 0.1},
		{"a few slow hosts, low limit", scene{steady(0.4), slowHost}, 0.01, 1, 0.01},
		{"all hosts slow", scene{steady(0.3), func(_ int, at time.Duration) float64 {
			if at%(40*time.Second) > 30*time.Second {
				return 4
			}
			return 1
		}}, 0.1, 1.1, 0.05},
		{"burst", scene{func(at time.Duration) float64 {
			if at%(10*time.Second) > 8*time.Second {
				return 1.2
			}
			return 0.5
		}, usual}, 0.1, 1.1, 0.1},
	} {
		for _, lost := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, cancellations lost %v", tc.name, lost), func(t *testing.T) {
				is := is.New(t)
				with, without := simulateHedges(tc.scene, tc.share, lost), simulateHedges(tc.scene, 0, lost)
				rate := float64(len(with.hedgesAt)) / float64(len(with.callsAt))
				t.Logf("p99 %v, without hedges %v, hedges per request %.3f, holds %v", with.p99(), without.p99(), rate, with.holds)
				is.Equal(len(without.hedgesAt), 0)
				is.True(with.worstWindow(tc.share) <= 5)
				is.True(float64(with.p99()) <= tc.gain*float64(without.p99()))
				is.True(rate <= tc.most)
			})
		}
	}
}

// Guards against a hedge that is sent for all that, or held for another reason than the one
// counted, and against a held one that uses the limit or the retries.
func TestHolds(t *testing.T) {
	is := is.New(t)
	limit, budget := retry.NewHedgeLimit(1), retry.NewBudget(retry.BudgetOptions{})
	good := retry.HedgeView{Load: 0.5, IsFaster: true}
	is.Equal(limit.Take(start, good, budget, types.Urgency{}), retry.HeldByShare)
	limit.RecordCall()
	for want, change := range map[retry.Hold]func(v *retry.HedgeView){
		retry.HeldByStop:   func(v *retry.HedgeView) { v.IsStopping = true },
		retry.HeldByLoad:   func(v *retry.HedgeView) { v.Load = 0.81 },
		retry.HeldNoFaster: func(v *retry.HedgeView) { v.IsFaster = false },
		retry.HeldByCold:   func(v *retry.HedgeView) { v.IsCold = true },
	} {
		v := good
		change(&v)
		is.Equal(limit.Take(start, v, budget, types.Urgency{}), want)
	}
	is.Equal(limit.Take(start, good, retry.NewBudget(retry.BudgetOptions{Off: true}), types.Urgency{}), retry.HeldByRetries)
	is.Equal(limit.Take(start, good, budget, types.Urgency{}), retry.NotHeld)
	is.Equal(limit.Take(start, good, budget, types.Urgency{}), retry.HeldByShare)
}
