package admit_test

import (
	"testing"
	"time"

	"trefoilthread/core/admit"
)

// BenchmarkOfferDone measures the run path: a free slot and an empty queue.
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
