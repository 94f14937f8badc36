package admit_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"trefoilthread/core/admit"
	"trefoilthread/core/types"
)

var start = time.Unix(1000, 0)

func newCall(urgent bool, remaining time.Duration, worth float64) types.Call {
	c, err := types.NewCall(types.CallSpec{
		ID: "c", Service: "bookings", Class: types.NewClass(urgent, types.Idempotent),
		Deadline: start.Add(remaining), Worth: worth,
	})
	if err != nil {
		panic(err)
	}
	return c
}

// fill offers n calls of one group and returns the tickets of those that run.
func fill(g *admit.Gate, urgent bool, n int) []admit.Ticket {
	var tickets []admit.Ticket
	for range n {
		if t, v := g.Offer(start, newCall(urgent, time.Hour, 1)); v == admit.Run {
			tickets = append(tickets, t)
		}
	}
	return tickets
}

// Guards against calls that are not urgent taking the reserved slots, and
// against a canceled call freeing a slot in which the target may still work.
func TestSlots(t *testing.T) {
	is := is.New(t)
	g := admit.New(admit.Options{Slots: 12, Queue: -1})
	is.Equal(len(fill(g, false, 20)), 9)
	urgent := fill(g, true, 20)
	is.Equal(len(urgent), 3)
	g.Cancel(start, urgent[0])
	is.Equal(len(fill(g, true, 1)), 0)
	g.Done(start, urgent[0], time.Millisecond, false)
	is.Equal(len(fill(g, true, 2)), 1)
}

// Guards against urgent calls running in order of arrival instead of by deadline,
// and normal calls running regardless of their worth.
func TestOrder(t *testing.T) {
	is := is.New(t)
	g := admit.New(admit.Options{Slots: 1})
	run := fill(g, true, 1)[0]
	names := map[admit.Ticket]string{}
	for _, c := range []struct {
		name   string
		urgent bool
		ttl    time.Duration
		worth  float64
	}{
		{"low worth", false, time.Minute, 1}, {"late deadline", true, time.Hour, 9}, {"high worth", false, time.Hour, 5},
		{"early deadline", true, time.Minute, 1}, {"worth not a number", false, time.Hour, math.NaN()},
	} {
		ticket, v := g.Offer(start, newCall(c.urgent, c.ttl, c.worth))
		is.Equal(v, admit.Wait)
		names[ticket] = c.name
	}
	var order []string
	for range 5 {
		events := g.Done(start, run, time.Millisecond, false)
		is.Equal(len(events), 1)
		run = events[0].Ticket
		order = append(order, names[run])
	}
	is.Equal(fmt.Sprint(order), "[early deadline late deadline high worth low worth worth not a number]")
}

// Guards against starvation: while urgent calls keep arriving, a normal call gets
// a place in the full queue and runs within 8 grants.
func TestFloodOfUrgentCallsStarvesNobody(t *testing.T) {
	is := is.New(t)
	g := admit.New(admit.Options{Slots: 4, Queue: 16})
	running := fill(g, true, 20)
	normal, v := g.Offer(start, newCall(false, time.Hour, 0.001))
	is.Equal(v, admit.Wait)
	is.Equal(len(g.Pending()), 1) // an urgent call was displaced
	for grant := 1; ; grant++ {
		is.True(grant <= 8)
		fill(g, true, 20)
		events := g.Done(start, running[0], time.Millisecond, false)
		is.Equal(len(events), 1)
		running = append(running[1:], events[0].Ticket)
		if events[0].Ticket == normal {
			return
		}
	}
}

// Guards against a full queue refusing a valuable call in favour of a
// worthless one, and the other way round.
func TestFullQueueKeepsTheMostValuable(t *testing.T) {
	is := is.New(t)
	g := admit.New(admit.Options{Slots: 1, Queue: 2})
	fill(g, true, 1)
	cheap, _ := g.Offer(start, newCall(false, time.Hour, 1))
	g.Offer(start, newCall(false, time.Hour, 3))
	refused, v := g.Offer(start, newCall(false, time.Hour, 0.5))
	is.Equal(v, admit.Refuse)
	is.Equal(refused.Reason(), "queue full")
	_, v = g.Offer(start, newCall(false, time.Hour, 2))
	is.Equal(v, admit.Wait)
	events := g.Pending()
	is.Equal(len(events), 1)
	is.Equal(events[0].Ticket, cheap)
	is.Equal(events[0].Verdict, admit.Refuse)
}

// Guards against accepting calls that cannot meet their deadline, with a free
// slot or in a queue, and against keeping waiting calls until their deadline
// passes.
func TestDeadlines(t *testing.T) {
	is := is.New(t)
	g := admit.New(admit.Options{Slots: 2, UrgentShare: -1})
	for range 50 {
		g.Done(start, fill(g, true, 1)[0], 100*time.Millisecond, false)
	}
	ticket, v := g.Offer(start, newCall(true, 90*time.Millisecond, 1))
	is.Equal(v, admit.Refuse)
	is.Equal(ticket.Reason(), "deadline cannot be met")
	fill(g, true, 2)
	_, v = g.Offer(start, newCall(true, 120*time.Millisecond, 1)) // needs 150 ms
	is.Equal(v, admit.Refuse)
	ticket, v = g.Offer(start, newCall(true, 170*time.Millisecond, 1))
	is.Equal(v, admit.Wait)
	is.Equal(len(g.Tick(start.Add(60*time.Millisecond))), 0)
	events := g.Tick(start.Add(80 * time.Millisecond))
	is.Equal(len(events), 1)
	is.Equal(events[0].Ticket, ticket)
	is.Equal(events[0].Verdict, admit.Refuse)
}

// BenchmarkOfferDone measures calls that run at once: a free slot and an empty
// queue.
func BenchmarkOfferDone(b *testing.B) {
	g := admit.New(admit.Options{})
	c := newCall(true, time.Hour, 1)
	b.ReportAllocs()
	for b.Loop() {
		t, _ := g.Offer(start, c)
		g.Done(start, t, time.Millisecond, false)
	}
}

// BenchmarkOfferDoneQueued measures a gate whose slots are taken and whose
// queue is half full.
func BenchmarkOfferDoneQueued(b *testing.B) {
	g := admit.New(admit.Options{})
	running := fill(g, true, 36)
	c := newCall(true, time.Hour, 1)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		g.Offer(start, c)
		events := g.Done(start, running[i%len(running)], time.Millisecond, false)
		running[i%len(running)] = events[0].Ticket
	}
}
