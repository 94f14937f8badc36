package route_test

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"trefoilthread/core/admit"
	"trefoilthread/core/route"
	"trefoilthread/core/tries"
	"trefoilthread/core/types"
)

const (
	modelSlots       = 12
	modelServiceTime = 5 * time.Millisecond
	// modelTick is how often a gate checks its waiting calls, as in io/agent.
	modelTick = 20 * time.Millisecond
	// modelRecent is how long an agent reports changes of the pace to a caller, as in io/agent.
	modelRecent = time.Second
)

// queueModel is a deterministic queueing model: Poisson arrivals at several pickers, targets
// with slots and a queue. Without kinds, service times are exponential and queues unbounded.
// With kinds, each target has a gate, and a call that it refuses is sent to the next one.
type queueModel struct {
	pickers, targets int
	load             float64       // offered load relative to the capacity of all slots
	oneWay           time.Duration // one-way latency to another data centre, or to all if there is one
	changeAt, end    time.Duration // when target 0 becomes slow or failing; calls count from then on
	slow             float64       // factor on the service time of target 0
	fails            bool          // target 0 fails in 100 us

	kinds       []callKind
	centres     int // data centres, 0 for one without a latency of its own
	hosts       slowTurns
	full        float64 // factor on the service time of calls that start when fullShare of the slots are used
	firstDemand float64 // demand in the first data centre relative to its share of the targets
	tellsPace   bool    // a large change of a target's pace is reported to its recent callers at once
	subset      int     // of a picker, 0 for its default
	seed        uint64
}

// callKind is a kind of calls with the same service time.
type callKind struct {
	name            string
	share           float64
	work, objective time.Duration
	worth           float64
}

// slowTurns makes a quarter of the hosts slow at any time, each host for the same time by turns.
type slowTurns struct {
	factor float64
	lasts  time.Duration
}

// fullShare is the share of its slots from which on a target is slower.
const fullShare = 0.8

type event struct {
	at  time.Duration
	run func()
}

// world is a model at one moment.
type world struct {
	queueModel
	now     time.Duration
	rng     *rand.Rand
	next    []event
	pickers []*route.Picker
	targets []*modelTarget
	byID    map[types.TargetID]*modelTarget
	placing *modelCall // the call for which a target is being chosen
	outcome
	latencies []time.Duration
	late      map[bool]int
}

type modelCall struct {
	picker           int
	kind             int
	token            route.Token
	ticket           admit.Ticket
	tried            []types.TargetID
	began, sent, end time.Duration // end of its service, while it runs
}

type outcome struct {
	p50, p99               time.Duration // of the calls from changeAt on that succeeded
	failedShare, lateShare float64       // share of failed calls; of target 0 after 100 ms

	calls, prompt, refused                int // with kinds: calls, those answered within their objective, and refused ones
	attempts, crossing, onSlow, turnedOff int // attempts, those to another data centre, to a slow host, and refused ones
}

func (l queueModel) newWorld(policy route.Policy) *world {
	w := &world{queueModel: l, rng: rand.New(rand.NewPCG(1+l.seed, 2)), late: map[bool]int{}, byID: map[types.TargetID]*modelTarget{}}
	list := make([]types.Target, l.targets)
	phases := rand.New(rand.NewPCG(l.seed, 3)).Perm(l.targets)
	for i := range list {
		list[i] = target(i, l.centreOf(i))
		t := &modelTarget{Target: list[i], waiting: map[admit.Ticket]*modelCall{}, calledAt: map[int]time.Duration{}}
		t.phase = 4 * l.hosts.lasts * time.Duration(phases[i]) / time.Duration(l.targets)
		if len(l.kinds) > 0 {
			t.gate = admit.New(admit.OptionsFor(modelSlots, 820))
		}
		w.targets, w.byID[t.ID()] = append(w.targets, t), t
	}
	if policy == nil {
		policy = w.oracle
	}
	for i := range l.pickers {
		o := route.Options{Self: target(i, "").ID(), DataCentre: l.centreOf(i), Policy: policy, Subset: l.subset, Seed: l.seed}
		if l.centres > 0 {
			o.Distance = assumedDistance
		}
		w.pickers = append(w.pickers, newPicker(list, o))
	}
	return w
}

// assumedDistance is what io/agent assumes of data centres of the same region.
func assumedDistance(from, to types.DataCentre) time.Duration {
	if from == to {
		return 0
	}
	return ms(3)
}

func (l queueModel) centreOf(i int) types.DataCentre {
	return types.DataCentre('a' + rune(i%max(1, l.centres)))
}

// distance returns the one-way latency from a picker to a target.
func (w *world) distance(picker int, t *modelTarget) time.Duration {
	if w.centres > 0 && w.centreOf(picker) == t.DataCentre() {
		return 0
	}
	return w.oneWay
}

func (w *world) after(d time.Duration, f func()) {
	at := w.now + d
	i, _ := slices.BinarySearchFunc(w.next, at, func(e event, t time.Duration) int { return cmp.Compare(e.at, t) })
	w.next = slices.Insert(w.next, i, event{at, f})
}

func (w *world) clock() time.Time { return start.Add(w.now) }

// send makes an attempt of a call.
func (w *world) send(c *modelCall) {
	p := w.pickers[c.picker]
	w.placing = c
	chosen, ok := p.Pick(w.clock(), c.tried)
	if !ok {
		w.refuse(c)
		return
	}
	t := w.byID[chosen.ID()]
	c.token, c.sent, c.tried = p.Start(w.clock(), t.ID()), w.now, append(c.tried, t.ID())
	if c.began >= w.changeAt+ms(100) {
		w.late[t == w.targets[0]]++
	}
	if c.began >= w.changeAt {
		w.attempts++
		w.crossing += count(w.centreOf(c.picker) != t.DataCentre())
		w.onSlow += count(w.hostFactor(t) > 1)
	}
	t.coming = append(t.coming, c)
	w.after(w.distance(c.picker, t), func() {
		t.coming = without(t.coming, c)
		w.enter(t, c)
	})
}

// answer ends an attempt at the target; the caller learns of it after the way back.
func (w *world) answer(t *modelTarget, c *modelCall, res route.Result) {
	res.Report, res.HasReport = t.report(), true
	w.after(w.distance(c.picker, t), func() {
		res.Latency = w.now - c.sent
		w.pickers[c.picker].Finish(w.clock(), c.token, res)
		counted := c.began >= w.changeAt
		switch {
		case res.Outcome == types.NotRun:
			w.turnedOff += count(counted)
			if len(c.tried) < tries.MaxUndelivered {
				w.send(c)
			} else {
				w.refuse(c)
			}
		case counted && res.Failed:
			w.failedShare++
		case counted:
			w.latencies = append(w.latencies, w.now-c.began)
			w.prompt += count(t.gate != nil && w.now-c.began <= w.kinds[c.kind].objective)
		}
	})
}

func (w *world) refuse(c *modelCall) { w.refused += count(c.began >= w.changeAt) }

// arrive places a call and plans the next one.
func (w *world) arrive() {
	c := &modelCall{began: w.now, picker: w.drawPicker()}
	work := float64(modelServiceTime)
	if len(w.kinds) > 0 {
		work = 0
		u := w.rng.Float64()
		for i, k := range w.kinds {
			work += k.share * float64(k.work)
			if u -= k.share; u >= 0 && i+1 < len(w.kinds) {
				c.kind = i + 1
			}
		}
	}
	w.calls += count(c.began >= w.changeAt)
	w.send(c)
	gap := work / (modelSlots * float64(len(w.targets)) * w.load)
	if d := time.Duration(w.rng.ExpFloat64() * gap); w.now+d < w.end {
		w.after(d, w.arrive)
	}
}

// drawPicker returns the picker at which a call arrives.
func (w *world) drawPicker() int {
	n := len(w.pickers)
	if w.firstDemand == 0 {
		return w.rng.IntN(n)
	}
	first := (n + w.centres - 1) / w.centres
	if w.rng.Float64() < w.firstDemand*float64(first)/float64(n) {
		return w.rng.IntN(first) * w.centres
	}
	i := w.rng.IntN(n - first)
	return i/(w.centres-1)*w.centres + 1 + i%(w.centres-1)
}

// run plays the model with a policy, nil for the oracle.
func (l queueModel) run(policy route.Policy) outcome {
	w := l.newWorld(policy)
	for w.after(0, w.arrive); len(w.next) > 0; {
		e := w.next[0]
		w.next = w.next[1:]
		w.now = e.at
		e.run()
	}
	slices.Sort(w.latencies)
	w.p50, w.p99 = w.latencies[len(w.latencies)/2], w.latencies[len(w.latencies)*99/100]
	w.failedShare /= w.failedShare + float64(len(w.latencies))
	w.lateShare = float64(w.late[true]) / float64(w.late[true]+w.late[false])
	return w.outcome
}

func count(is bool) int {
	if is {
		return 1
	}
	return 0
}

func without(list []*modelCall, c *modelCall) []*modelCall {
	return slices.DeleteFunc(list, func(o *modelCall) bool { return o == c })
}
