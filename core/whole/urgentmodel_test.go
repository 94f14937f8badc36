package whole_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"trefoilthread/core/admit"
	"trefoilthread/core/retry"
	"trefoilthread/core/route"
	"trefoilthread/core/tries"
	"trefoilthread/core/types"
)

const (
	front, back             = 0, 1 // services
	frontVMs, backVMs       = 8, 6
	urgentSlots, urgentUsed = 12, 9 // slots of a target, and those that OptionsFor uses
	callShare               = 0.7   // of the requests of the first type that make a call
	urgentTime              = 30 * time.Second
	rejectFrom, rejectFor   = 10 * time.Second, 8 * time.Second
	rejectShare             = 0.55
	slowFor                 = 300 * time.Millisecond
)

// requestType is a type of requests, or the type of the calls that targets make.
type requestType struct {
	name                 string
	rank                 int
	work, goal, deadline time.Duration
	runs                 types.Runs
	attempts             int

	counts [2]count // for each service
}

// count counts requests of one type at one service.
type count struct {
	came, served, prompt int
}

// share returns the share of the requests that were answered before their deadline.
func (c count) share() float64 { return float64(c.served) / float64(max(c.came, 1)) }

// newRequestTypes returns the three types of requests and that of the calls of the first one.
func newRequestTypes(callRank int) [4]*requestType {
	const ms = time.Millisecond
	return [4]*requestType{
		{name: "lookup", rank: 0, work: 160 * ms, goal: 500 * ms, deadline: 2000 * ms, attempts: 3},
		{name: "booking", rank: 1, work: 210 * ms, goal: 500 * ms, deadline: 2500 * ms, runs: types.AtMostOnce, attempts: 3},
		{name: "history", rank: 2, work: 400 * ms, goal: 2000 * ms, deadline: 5000 * ms, attempts: 3},
		{name: "call", rank: callRank, work: 40 * ms, goal: 150 * ms, deadline: 500 * ms, attempts: 3},
	}
}

// urgentVM is a target with its gate, and an agent that sends requests to both services.
type urgentVM struct {
	types.Target
	number, service int
	rejects         bool
	gate            *admit.Gate
	pickers         [2]*route.Picker
	budgets         [2]*retry.Budget
	waiting         map[admit.Ticket]*urgentRun
	running         []*urgentRun
	pace            float64
}

// urgentRequest is a request, or a call that a run of parent makes.
type urgentRequest struct {
	*requestType
	service, customerRank   int
	customer                types.CustomerName
	from                    *urgentVM
	parent                  *urgentRun
	arrived, goal, deadline time.Time
	tries                   *tries.Tries
	tried                   []types.TargetID
	run                     *urgentRun // attempt in flight
	done                    bool
}

// urgentRun is an attempt, which waits at the gate or runs.
type urgentRun struct {
	*urgentRequest
	at              *urgentVM
	token           route.Token
	ticket          admit.Ticket
	sent, start     time.Time
	end             time.Time // zero while it waits for a slot or for its call
	callAt          time.Time // zero without a call
	work            time.Duration
	isOver, isStart bool
}

// urgentModel joins gates, pickers, tries and retry budgets of two services. Messages take no
// time.
type urgentModel struct {
	urgentCase
	rng     *rand.Rand
	now     time.Time
	types   [4]*requestType
	vms     []*urgentVM
	targets map[types.TargetID]*urgentVM
	open    []*urgentRequest
	why     map[string]int
}

func newUrgentModel(c urgentCase, seed uint64) *urgentModel {
	m := &urgentModel{
		urgentCase: c, rng: rand.New(rand.NewPCG(seed, 11)), now: urgentStart, types: newRequestTypes(c.callRank),
		targets: make(map[types.TargetID]*urgentVM), why: make(map[string]int),
	}
	var lists [2][]types.Target
	for i := range frontVMs + backVMs {
		v := &urgentVM{number: i, gate: admit.New(admit.OptionsFor(urgentSlots, 820)), waiting: make(map[admit.Ticket]*urgentRun), pace: 1}
		if i >= frontVMs {
			v.service = back
		}
		v.rejects = len(lists[v.service]) < c.rejecting[v.service]
		v.Target = types.NewTarget(types.TargetSpec{ID: types.TargetID(fmt.Sprint("t", i)), DataCentre: "a", Slots: urgentSlots, Incarnation: 1})
		lists[v.service] = append(lists[v.service], v.Target)
		m.vms, m.targets[v.ID()] = append(m.vms, v), v
	}
	// The settings of the deployment np, with the part of each of its 59 agents.
	part := retry.FleetLimit{Share: 0.2, Extra: 158, Window: 10 * time.Second}.Part(59)
	for _, v := range m.vms {
		for s := range lists {
			v.pickers[s] = route.New(route.Options{Self: v.ID(), DataCentre: "a", Seed: seed, Subset: 6})
			v.pickers[s].Update(m.now, lists[s])
			v.budgets[s] = retry.NewBudget(part)
		}
	}
	return m
}

var urgentStart = time.Unix(1000, 0)

// isFaulty reports whether targets reject requests now.
func (m *urgentModel) isFaulty() bool {
	at := m.now.Sub(urgentStart)
	return at >= rejectFrom && at < rejectFrom+rejectFor
}

// isCounted reports whether requests that arrive now count in the shares: during the fault, if
// there is one, and otherwise after the first seconds.
func (m *urgentModel) isCounted() bool {
	if m.rejecting != [2]int{} {
		return m.isFaulty()
	}
	return m.now.Sub(urgentStart) > 3*time.Second
}

// setPace sets the pace of the host of v. Its gate knows it, and agents are told of changes.
func (m *urgentModel) setPace(v *urgentVM) {
	at := m.now.Sub(urgentStart)
	pace := 1.0
	if m.slow && (int(at/slowFor)+v.number)%4 == 0 {
		pace = 4
	}
	isNews := pace != v.pace
	v.pace = pace
	if pace > 1 {
		v.gate.SetPace(pace, slowFor-at%slowFor, 1)
	} else {
		v.gate.SetPace(1, 0, 1)
	}
	for _, o := range m.vms {
		if isNews {
			o.pickers[v.service].ApplyReport(m.now, v.ID(), v.report())
		}
	}
}

func (v *urgentVM) report() types.Report {
	r := v.gate.Report()
	r.Incarnation, r.Pace = 1, v.pace
	return types.NewReport(r)
}

// arrive begins a request at the agent of v.
func (m *urgentModel) arrive(v *urgentVM, t *requestType, service int, parent *urgentRun) {
	q := &urgentRequest{
		requestType: t, service: service, from: v, parent: parent, arrived: m.now, goal: m.now.Add(t.goal), deadline: m.now.Add(t.deadline),
		tries: tries.New(tries.Options{Runs: t.runs, Attempts: t.attempts}),
	}
	if parent != nil && parent.deadline.Before(q.deadline) {
		q.deadline = parent.deadline
	}
	if n := m.rng.IntN(9); m.customers && parent == nil {
		q.customer, q.customerRank = types.CustomerName(fmt.Sprint(n)), n/3
	}
	if m.isCounted() {
		t.counts[service].came++
	}
	v.budgets[service].RecordCall(m.now)
	m.open = append(m.open, q)
	if !m.send(q) {
		m.finish(q, false, "no target")
	}
}

// send sends a request to a target; false if there is none left.
func (m *urgentModel) send(q *urgentRequest) bool {
	p := q.from.pickers[q.service]
	chosen, ok := p.Pick(m.now, q.tried)
	if !ok {
		return false
	}
	others := p.CountUsable(m.now) > len(q.tried)+1
	q.tried = append(q.tried, chosen.ID())
	v := m.targets[chosen.ID()]
	r := &urgentRun{urgentRequest: q, at: v, token: p.Start(m.now, chosen.ID()), sent: m.now}
	q.run = r
	call, err := types.NewCall(types.CallSpec{
		ID: "a", Service: "s", Kind: q.name, Worth: 1 / float64(1+q.rank), Rank: q.rank, Class: types.NewClass(false, q.runs),
		PromptOnly: q.tries.PromptOnly(others), Goal: q.goal, Deadline: q.deadline,
		Customer: q.customer, CustomerRank: q.customerRank,
	})
	if err != nil {
		panic(err)
	}
	ticket, verdict := v.gate.Offer(m.now, call)
	r.ticket = ticket
	events := v.gate.Pending()
	switch verdict {
	case admit.Run:
		m.start(r)
	case admit.Wait:
		v.waiting[ticket] = r
	default:
		m.end(r, tries.RefusedByGate, ticket.Reason())
	}
	m.deliver(v, events)
	return true
}

func (m *urgentModel) deliver(v *urgentVM, events []admit.Event) {
	for _, ev := range events {
		r := v.waiting[ev.Ticket]
		delete(v.waiting, ev.Ticket)
		if ev.Verdict == admit.Run {
			m.start(r)
		} else {
			m.end(r, tries.RefusedByGate, ev.Reason)
		}
	}
}

// start runs an attempt. The call of a request of the first type is made after half its work.
func (m *urgentModel) start(r *urgentRun) {
	v := r.at
	r.isStart, r.start = true, m.now
	v.running = append(v.running, r)
	if v.rejects && m.isFaulty() && m.rng.Float64() < rejectShare {
		r.end = m.now.Add(time.Millisecond)
		r.work = 0
		return
	}
	r.work = time.Duration((0.5 + m.rng.Float64()) * float64(r.requestType.work) * v.pace)
	if r.requestType == m.types[0] && m.rng.Float64() < callShare {
		r.callAt = m.now.Add(r.work / 2)
		return
	}
	r.end = m.now.Add(r.work)
}

// leave frees the slot of a run.
func (m *urgentModel) leave(r *urgentRun, failed bool) {
	r.isOver = true
	r.at.running = slices.DeleteFunc(r.at.running, func(o *urgentRun) bool { return o == r })
	m.deliver(r.at, r.at.gate.Done(m.now, r.ticket, m.now.Sub(r.start), failed))
}

// end passes the end of an attempt without an answer to its agent, which may make another one.
func (m *urgentModel) end(r *urgentRun, res tries.Result, reason string) {
	q := r.urgentRequest
	out := route.Result{Outcome: types.NotRun, Latency: m.now.Sub(r.sent), HasReport: true, Report: r.at.report()}
	switch res {
	case tries.Failed:
		out.Outcome, out.Failed = types.Done, true
	case tries.Expired:
		out.Outcome = types.DeadlineExceeded
	}
	q.from.pickers[q.service].Finish(m.now, r.token, out)
	q.tries.Record(res, reason, 0)
	if !q.tries.ShouldRetry(func() bool {
		return q.from.budgets[q.service].TakeFor(m.now, types.Urgency{Customer: q.customerRank, Route: q.rank})
	}) || !m.send(q) {
		m.finish(q, false, reason)
	}
}

// finish ends a request. A run fails with its call.
func (m *urgentModel) finish(q *urgentRequest, served bool, reason string) {
	if q.done {
		return
	}
	q.done = true
	if !served {
		m.why[q.name+": "+reason]++
	}
	if served && m.wasCounted(q) {
		q.counts[q.service].served++
		if !m.now.After(q.goal) {
			q.counts[q.service].prompt++
		}
	}
	r := q.parent
	if r == nil || r.isOver {
		return
	}
	if served {
		r.end = m.now.Add(r.work / 2)
		return
	}
	m.leave(r, true)
	m.end(r, tries.Failed, "call failed")
}

// wasCounted reports whether q counted when it arrived.
func (m *urgentModel) wasCounted(q *urgentRequest) bool {
	now := m.now
	defer func() { m.now = now }()
	m.now = q.arrived
	return m.isCounted()
}

// step makes the due calls of the runs at v and ends those whose work is done.
func (m *urgentModel) step(v *urgentVM) {
	m.setPace(v)
	for _, r := range slices.Clone(v.running) {
		switch {
		case r.isOver:
		case !r.callAt.IsZero() && !m.now.Before(r.callAt):
			r.callAt = time.Time{}
			m.arrive(v, m.types[3], back, r)
		case r.end.IsZero() || m.now.Before(r.end):
		case r.work == 0:
			m.leave(r, true)
			m.end(r, tries.RefusedByTarget, "target rejected")
		default:
			m.leave(r, false)
			r.from.pickers[r.service].Finish(m.now, r.token, route.Result{
				Outcome: types.Done, Latency: m.now.Sub(r.sent), HasReport: true, Report: v.report(),
			})
			m.finish(r.urgentRequest, true, "")
		}
	}
	if m.now.Sub(urgentStart)%(20*time.Millisecond) == 0 {
		m.deliver(v, v.gate.Tick(m.now))
	}
}

// expire ends a request whose deadline has passed, and its attempt.
func (m *urgentModel) expire(q *urgentRequest) {
	if q.done || m.now.Before(q.deadline) {
		return
	}
	r := q.run
	if r.isStart && !r.isOver {
		m.leave(r, true)
	} else if !r.isStart {
		delete(r.at.waiting, r.ticket)
		m.deliver(r.at, r.at.gate.Cancel(m.now, r.ticket))
	}
	m.end(r, tries.Expired, "deadline passed")
}

func (m *urgentModel) play() {
	rates := m.rates()
	for m.now.Before(urgentStart.Add(urgentTime)) {
		m.now = m.now.Add(time.Millisecond)
		for _, v := range m.vms {
			m.step(v)
		}
		for _, q := range slices.Clone(m.open) {
			m.expire(q)
		}
		m.open = slices.DeleteFunc(m.open, func(q *urgentRequest) bool { return q.done })
		for i, perS := range rates {
			if m.now.Sub(urgentStart) > urgentTime-5*time.Second || m.rng.Float64() >= perS/1000 {
				continue
			}
			service := front
			if i == 2 && m.rng.Float64() >= m.thirdFront {
				service = back
			}
			m.arrive(m.vms[m.rng.IntN(len(m.vms))], m.types[i], service, nil)
		}
	}
}
