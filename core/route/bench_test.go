package route_test

import (
	"fmt"
	"testing"
	"time"

	"trefoilthread/core/route"
	"trefoilthread/core/types"
)

// busy returns a Picker of n targets in two data centres with reports and
// calls in flight.
func busy(policy route.Policy, n int) (*route.Picker, []types.Target) {
	list := targets(n, "a")
	for i := 1; i < n; i += 2 {
		list[i] = target(i, "b")
	}
	p := route.New(route.Options{Policy: policy, DataCentre: "a", Distance: func(from, to types.DataCentre) time.Duration {
		return ms(int(from[0] ^ to[0]))
	}})
	p.Update(start, list)
	for i, x := range list {
		call(p, start, x.ID(), loaded(2+i%8))
		p.Start(start, x.ID())
	}
	return p, list
}

func BenchmarkPick(b *testing.B) {
	for _, name := range route.PolicyNames() {
		b.Run(name, func(b *testing.B) {
			policy, _ := route.ParsePolicy(name)
			p, _ := busy(policy, 200)
			b.ReportAllocs()
			for b.Loop() {
				p.Pick(start.Add(ms(7)), nil)
			}
		})
	}
}

func BenchmarkStartFinish(b *testing.B) {
	p, _ := busy(route.Weighted, 200)
	b.ReportAllocs()
	for b.Loop() {
		p.Finish(start, p.Start(start, "t3"), loaded(3))
	}
}

func BenchmarkUpdate(b *testing.B) {
	for _, n := range []int{200, 1000, 5200} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			p, list := busy(route.Weighted, n)
			b.ReportAllocs()
			for b.Loop() {
				p.Update(start, list)
			}
		})
	}
}
