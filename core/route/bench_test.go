package route_test

import (
	"fmt"
	"testing"
	"time"

	"trefoilthread/core/route"
	"trefoilthread/core/types"
)

// busyPicker returns a Picker of n targets in two data centres with reports and
// calls in flight.
func busyPicker(policy route.Policy, n int) (*route.Picker, []types.Target) {
	list := append(targets(n/2, "a"), targets(n, "b")[n/2:]...)
	p := newPicker(list, route.Options{Policy: policy, DataCentre: "a", Distance: func(from, to types.DataCentre) time.Duration {
		return ms(int(from[0] ^ to[0]))
	}})
	for i, x := range list {
		completeCall(p, start, x.ID(), withLoad(2+i%8))
		p.Start(start, x.ID())
	}
	return p, list
}

func bench(b *testing.B, name string, f func()) {
	b.Run(name, func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			f()
		}
	})
}

func BenchmarkPick(b *testing.B) {
	for _, name := range route.PolicyNames() {
		policy, _ := route.ParsePolicy(name)
		p, _ := busyPicker(policy, 200)
		bench(b, name, func() { p.Pick(start.Add(ms(7)), nil) })
	}
}

func BenchmarkStartFinish(b *testing.B) {
	p, _ := busyPicker(route.Weighted, 200)
	bench(b, "200", func() { p.Finish(start, p.Start(start, "t3"), withLoad(3)) })
}

func BenchmarkUpdate(b *testing.B) {
	for _, n := range []int{200, 1000, 5200} {
		p, list := busyPicker(route.Weighted, n)
		bench(b, fmt.Sprint(n), func() { p.Update(start, list) })
	}
}
