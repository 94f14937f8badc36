package admit_test

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"trefoilthread/core/admit"
	"trefoilthread/core/types"
)

// model is the test oracle. It tracks only the tickets and their states.
type model struct {
	now               time.Time
	gate              *admit.Gate
	opts              admit.Options
	all               []admit.Ticket
	urgent            map[admit.Ticket]bool // of all
	waiting           map[admit.Ticket]bool
	running           map[admit.Ticket]bool
	draining          bool
	customers         bool // calls have customers
	urgentStreak      int
	grantsSinceNormal int // grants since the last one to a normal call
}

// count returns how many tickets of set are urgent, or normal if wantUrgent is
// false.
func count(set, urgent map[admit.Ticket]bool, wantUrgent bool) int {
	n := 0
	for t := range set {
		if urgent[t] == wantUrgent {
			n++
		}
	}
	return n
}

func (m *model) apply(t *rapid.T, events []admit.Event) {
	for _, e := range events {
		if !m.waiting[e.Ticket] {
			t.Fatalf("event %v for a call that is not waiting", e)
		}
		if e.Verdict == admit.Run {
			m.checkStarvation(t, e.Ticket)
			m.start(t, e.Ticket)
		} else if e.Verdict != admit.Refuse || e.Reason == "" {
			t.Fatalf("event %v is neither Run nor Refuse with a reason", e)
		}
		delete(m.waiting, e.Ticket)
	}
}

func (m *model) start(t *rapid.T, ticket admit.Ticket) {
	if m.draining {
		t.Fatalf("call started during a drain")
	}
	m.running[ticket] = true
	if n := m.gate.Report().Limit; len(m.running) > min(n, m.opts.Slots, m.opts.Connections) {
		t.Fatalf("%d calls run, limit %d, %+v", len(m.running), n, m.opts)
	}
}

func (m *model) checkStarvation(t *rapid.T, ticket admit.Ticket) {
	n := m.gate.Report().Limit
	reserve := max(0, min(n-1, int(math.Ceil(m.opts.UrgentShare*float64(n)))))
	m.grantsSinceNormal++
	if !m.urgent[ticket] {
		if count(m.waiting, m.urgent, true) > 0 && m.grantsSinceNormal < 3 {
			t.Fatalf("an urgent call waits and 2 of %d grants went to normal calls", m.grantsSinceNormal+1)
		}
		m.urgentStreak, m.grantsSinceNormal = 0, 0
		return
	}
	if count(m.waiting, m.urgent, false) > 0 && count(m.running, m.urgent, false) < n-reserve {
		if m.urgentStreak++; m.urgentStreak > 7 {
			t.Fatalf("%d successive grants to urgent calls while a normal call waits", m.urgentStreak)
		}
	}
}

func (m *model) offer(t *rapid.T) {
	urgent := rapid.SampledFrom([]bool{true, true, true, false}).Draw(t, "urgent")
	ttl := time.Duration(rapid.SampledFrom([]int{-5, 10, 1000, 30_000, 30_000}).Draw(t, "ttl"))
	c := newCall(urgent, m.now.Add(ttl*time.Millisecond).Sub(start), rapid.Float64Range(0, 9).Draw(t, "worth"))
	if m.customers {
		n := rapid.IntRange(0, 4).Draw(t, "customer")
		c = callOf(c, []types.CustomerName{"", "a", "b", "c", "d"}[n], n/2)
	}
	ticket, v := m.gate.Offer(m.now, c)
	if _, ok := m.urgent[ticket]; ok {
		t.Fatalf("ticket %v used twice", ticket)
	}
	m.urgent[ticket] = urgent
	m.all = append(m.all, ticket)
	m.apply(t, m.gate.Pending())
	switch {
	case v == admit.Run:
		if count(m.waiting, m.urgent, true) > 0 || count(m.waiting, m.urgent, urgent) > 0 {
			t.Fatalf("call started ahead of the queue")
		}
		m.start(t, ticket)
	case v == admit.Wait:
		m.waiting[ticket] = true
	case ticket.Reason() == "":
		t.Fatalf("refused without a reason")
	}
}

func (m *model) done(t *rapid.T) {
	if ticket, ok := m.pick(t, m.running); ok {
		delete(m.running, ticket)
		service := time.Duration(rapid.IntRange(1, 50).Draw(t, "service")) * time.Millisecond
		m.apply(t, m.gate.Done(m.now, ticket, service, rapid.Bool().Draw(t, "failed")))
	}
}

func (m *model) check(t *rapid.T) {
	r := m.gate.Report()
	if r.InFlight != len(m.running) || r.Queued != len(m.waiting) || r.Draining != m.draining {
		t.Fatalf("report %+v, want %d running, %d waiting", r, len(m.running), len(m.waiting))
	}
	if r.Queued > 0 && (m.draining || r.InFlight+r.Queued > m.opts.Connections || r.Queued > m.opts.Queue) {
		t.Fatalf("report %+v with %+v", r, m.opts)
	}
	if m.gate.Idle() != (r.InFlight+r.Queued == 0) {
		t.Fatalf("Idle does not agree with the report %+v", r)
	}
}

func options(t *rapid.T) admit.Options {
	return admit.Options{
		Slots: rapid.IntRange(1, 6).Draw(t, "slots"), Queue: rapid.IntRange(2, 40).Draw(t, "queue"),
		Connections: rapid.IntRange(1, 60).Draw(t, "connections"), UrgentShare: 0.25,
	}
}

// pick draws one ticket of set, or of all tickets if set is nil. Candidates are in
// the order in which they were issued.
func (m *model) pick(t *rapid.T, set map[admit.Ticket]bool) (admit.Ticket, bool) {
	var in []admit.Ticket
	for _, ticket := range m.all {
		if set == nil || set[ticket] {
			in = append(in, ticket)
		}
	}
	if len(in) == 0 {
		return admit.Ticket{}, false
	}
	return rapid.SampledFrom(in).Draw(t, "ticket"), true
}

// Guards, in arbitrary sequences of operations, against more running calls than
// slots, calls with two results or none, refused calls that run, calls that start
// during a drain, and starvation of urgent or normal calls.
func TestGateModel(t *testing.T) { rapid.Check(t, func(t *rapid.T) { checkGate(t, false) }) }

// Guards against the same with calls of customers.
func TestGateModelWithCustomers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { checkGate(t, true) })
}

func checkGate(t *rapid.T, customers bool) {
	m := &model{now: start, grantsSinceNormal: 8, opts: options(t), customers: customers}
	m.urgent, m.waiting, m.running = map[admit.Ticket]bool{}, map[admit.Ticket]bool{}, map[admit.Ticket]bool{}
	m.gate = admit.New(m.opts)
	actions := map[string]func(*rapid.T){
		"offer": func(t *rapid.T) {
			for range 8 {
				m.offer(t)
			}
		},
		"done": func(t *rapid.T) {
			for range 4 {
				m.done(t)
			}
		},
		"stale": func(t *rapid.T) {
			ticket, ok := m.pick(t, nil)
			if !ok || m.running[ticket] {
				return
			}
			m.apply(t, m.gate.Done(m.now, ticket, time.Hour, false))
			if !m.waiting[ticket] {
				m.apply(t, m.gate.Cancel(m.now, ticket))
			}
		},
		"options": func(t *rapid.T) {
			m.opts = options(t)
			m.gate.SetOptions(m.opts)
			m.apply(t, m.gate.Pending())
		},
		"cancel": func(t *rapid.T) {
			set := rapid.SampledFrom([]map[admit.Ticket]bool{m.waiting, m.running}).Draw(t, "set")
			if ticket, ok := m.pick(t, set); ok {
				delete(m.waiting, ticket)
				m.apply(t, m.gate.Cancel(m.now, ticket))
			}
		},
		"tick": func(t *rapid.T) {
			m.now = m.now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "step")) * time.Millisecond)
			m.apply(t, m.gate.Tick(m.now))
		},
		"drain": func(t *rapid.T) {
			m.draining = true
			m.apply(t, m.gate.Drain(m.now))
		},
		"resume": func(*rapid.T) {
			m.draining = false
			m.gate.Resume()
		},
	}
	// rapid's Repeat prefers short sequences, in which the queue never fills.
	names := []string{
		"offer", "offer", "offer", "done", "done", "done", "done", "done", "done",
		"tick", "cancel", "cancel", "stale", "options", "drain", "resume", "resume",
	}
	for range 100 {
		actions[rapid.SampledFrom(names).Draw(t, "action")](t)
		m.check(t)
	}
	// Each remaining call must get its result.
	m.draining = false
	m.gate.Resume()
	m.apply(t, m.gate.Tick(m.now))
	for len(m.running) > 0 {
		m.done(t)
	}
	m.check(t)
	if !m.gate.Idle() {
		t.Fatalf("gate is not idle, %d calls still wait for a result", len(m.waiting))
	}
}
