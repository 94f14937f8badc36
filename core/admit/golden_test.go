package admit_test

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"trefoilthread/core/admit"
	"trefoilthread/core/types"
)

// decisions returns the hash of all decisions about 20,000 calls of three routes and both
// classes at twice the capacity of a gate, with cancellations, paces, goals and rates.
func decisions() string {
	rng := rand.New(rand.NewPCG(3, 4))
	h := fnv.New64a()
	g := admit.New(admit.Options{Slots: 8, Queue: 24})
	var tickets []admit.Ticket
	number := make(map[admit.Ticket]int)
	ends := make(map[admit.Ticket]time.Time)
	now := start
	run := func(t admit.Ticket) { ends[t] = now.Add(time.Duration(20+number[t]%7*20) * time.Millisecond) }
	handle := func(events []admit.Event) {
		for _, ev := range events {
			fmt.Fprintln(h, number[ev.Ticket], ev.Verdict, ev.Reason)
			if ev.Verdict == admit.Run {
				run(ev.Ticket)
			}
		}
	}
	for i := range 20_000 {
		now = now.Add(time.Duration(rng.IntN(10)) * time.Millisecond)
		for _, t := range tickets[max(0, i-500):] {
			if end, ok := ends[t]; ok && !now.Before(end) {
				delete(ends, t)
				handle(g.Done(now, t, time.Duration(20+number[t]%7*20)*time.Millisecond, number[t]%31 == 0))
			}
		}
		kind := rng.IntN(3)
		c, err := types.NewCall(types.CallSpec{
			ID: "a", Service: "bookings", Kind: fmt.Sprint(kind), Worth: 1 / float64(1+kind),
			Class: types.NewClass(kind == 0 && i%4 == 0, types.Idempotent), PromptOnly: rng.IntN(3) == 0,
			Goal: now.Add(time.Duration(100+rng.IntN(300)) * time.Millisecond), Deadline: now.Add(time.Second),
		})
		if err != nil {
			panic(err)
		}
		t, v := g.Offer(now, c)
		number[t], tickets = i, append(tickets, t)
		fmt.Fprintln(h, i, v, t.Reason())
		if v == admit.Run {
			run(t)
		}
		handle(g.Pending())
		switch i % 50 {
		case 10:
			handle(g.Cancel(now, tickets[max(0, i-3)]))
		case 20:
			g.SetPace(1+float64(rng.IntN(3)), time.Duration(rng.IntN(100))*time.Millisecond, 1)
		case 30:
			g.SetRate(now, float64(rng.IntN(2)*80))
		}
		handle(g.Tick(now))
	}
	return fmt.Sprintf("%x", h.Sum64())
}

// Guards against gates that decide differently than before the order by customers for calls
// without one. The hash is that of the gate of commit 3ba7c2d.
func TestDecisionsWithoutCustomers(t *testing.T) {
	is := is.New(t)
	is.Equal(decisions(), "39c4f38ec2624e32")
}
