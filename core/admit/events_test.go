package admit_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"trefoilthread/core/admit"
	"trefoilthread/core/types"
)

// ends tracks the calls of a gate whose pace and rate change.
type ends struct {
	gate    *admit.Gate
	now     time.Time
	all     []admit.Ticket
	waiting map[admit.Ticket]bool
	running map[admit.Ticket]bool
}

// apply checks that each event is the only one of a call that waits.
func (m *ends) apply(t *rapid.T, events []admit.Event) {
	for _, e := range events {
		if !m.waiting[e.Ticket] {
			t.Fatalf("event %v of a call that doesn't wait", e)
		}
		delete(m.waiting, e.Ticket)
		if e.Verdict == admit.Run {
			m.running[e.Ticket] = true
		}
	}
	if r := m.gate.Report(); r.InFlight != len(m.running) || r.Queued != len(m.waiting) {
		t.Fatalf("report %+v, want %d running, %d waiting", r, len(m.running), len(m.waiting))
	}
}

func (m *ends) offer(t *rapid.T) {
	ms := func(most int, what string) time.Duration {
		return time.Duration(rapid.IntRange(-1, most).Draw(t, what)) * time.Millisecond
	}
	c, err := types.NewCall(types.CallSpec{
		ID: "c", Service: "bookings", Class: types.NewClass(rapid.Bool().Draw(t, "urgent"), types.AtMostOnce),
		Kind: fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "kind")), PromptOnly: rapid.IntRange(0, 3).Draw(t, "prompt") == 0,
		Deadline: m.now.Add(ms(900, "deadline")), Goal: m.now.Add(ms(600, "goal")), Worth: rapid.Float64Range(0, 9).Draw(t, "worth"),
	})
	if err != nil {
		t.Fatal(err)
	}
	ticket, v := m.gate.Offer(m.now, c)
	m.all = append(m.all, ticket)
	switch v {
	case admit.Run:
		m.running[ticket] = true
	case admit.Wait:
		m.waiting[ticket] = true
	}
	m.apply(t, m.gate.Pending())
}

// pick draws one of all tickets.
func (m *ends) pick(t *rapid.T) (admit.Ticket, bool) {
	if len(m.all) == 0 {
		return admit.Ticket{}, false
	}
	return rapid.SampledFrom(m.all).Draw(t, "ticket"), true
}

// Guards against a call with two decisions or none, and a refused call that holds a slot, in a
// gate with goals whose pace, rate and options change.
func TestEachCallHasOneEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &ends{gate: admit.New(options(t)), now: start, waiting: map[admit.Ticket]bool{}, running: map[admit.Ticket]bool{}}
		actions := map[string]func(){
			"offer": func() {
				for range 6 {
					m.offer(t)
				}
			},
			"done": func() { // also of calls that don't run
				if ticket, ok := m.pick(t); ok {
					delete(m.running, ticket)
					m.apply(t, m.gate.Done(m.now, ticket, time.Duration(rapid.IntRange(1, 200).Draw(t, "service"))*time.Millisecond, rapid.Bool().Draw(t, "failed")))
				}
			},
			"leave": func() { // as a caller that leaves while it waits, or while it is granted a slot
				if ticket, ok := m.pick(t); ok {
					delete(m.waiting, ticket)
					m.apply(t, m.gate.Cancel(m.now, ticket))
					delete(m.running, ticket)
					m.apply(t, m.gate.Done(m.now, ticket, 0, true))
				}
			},
			"pace": func() {
				m.gate.SetPace(rapid.Float64Range(0, 4).Draw(t, "pace"), time.Duration(rapid.IntRange(0, 80).Draw(t, "in"))*time.Millisecond, 1)
			},
			"rate":    func() { m.gate.SetRate(m.now, rapid.SampledFrom([]float64{0, 0.5, 5, 50}).Draw(t, "rate")) },
			"options": func() { m.gate.SetOptions(options(t)); m.apply(t, m.gate.Pending()) },
			"drain":   func() { m.apply(t, m.gate.Drain(m.now)) },
			"resume":  func() { m.gate.Resume() },
			"tick": func() {
				m.now = m.now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "step")) * time.Millisecond)
				m.apply(t, m.gate.Tick(m.now))
			},
		}
		names := []string{"offer", "offer", "offer", "done", "done", "leave", "pace", "rate", "options", "drain", "resume", "resume", "tick", "tick"}
		for range 100 {
			actions[rapid.SampledFrom(names).Draw(t, "action")]()
		}
		m.apply(t, m.gate.Drain(m.now))
		for ticket := range m.running {
			delete(m.running, ticket)
			m.apply(t, m.gate.Done(m.now, ticket, time.Millisecond, false))
		}
		if !m.gate.Idle() || len(m.waiting) > 0 {
			t.Fatalf("gate idle %v, %d calls wait for an event", m.gate.Idle(), len(m.waiting))
		}
	})
}
