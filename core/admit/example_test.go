package admit_test

import (
	"fmt"
	"time"

	"trefoilthread/core/admit"
	"trefoilthread/core/types"
)

// A program that embeds the gate offers it each call, runs the calls that it
// admits, and reports when a call has ended.
func ExampleGate() {
	now := time.Unix(1000, 0)
	g := admit.New(admit.Options{Slots: 1, Queue: 2})
	call := func(id string, urgent bool, worth float64) types.Call {
		c, err := types.NewCall(types.CallSpec{
			ID: id, Service: "bookings", Class: types.NewClass(urgent, types.Idempotent),
			Deadline: now.Add(time.Second), Worth: worth,
		})
		if err != nil {
			panic(err)
		}
		return c
	}
	first, v := g.Offer(now, call("a", false, 1))
	fmt.Println("a:", v)
	b, v := g.Offer(now, call("b", false, 1))
	fmt.Println("b:", v)
	c, v := g.Offer(now, call("c", true, 1))
	fmt.Println("c:", v)
	names := map[admit.Ticket]string{b: "b", c: "c"}
	now = now.Add(20 * time.Millisecond)
	for _, ev := range g.Done(now, first, 20*time.Millisecond, false) {
		fmt.Println(names[ev.Ticket]+":", ev.Verdict)
	}
	for _, ev := range g.Drain(now) {
		fmt.Println(names[ev.Ticket]+":", ev.Verdict)
	}
	// Output:
	// a: run
	// b: wait
	// c: wait
	// c: run
	// b: refuse
}
