package route_test

import (
	"fmt"
	"testing"
	"time"

	"trefoilthread/core/route"
	"trefoilthread/core/types"
)

func busy(policy route.Policy, n int) *route.Picker {
	list := targets(n, "a")
	for i := 1; i < n; i += 2 {
		list[i] = target(i, "b")
	}
	p := route.New(route.Options{Policy: policy, DataCentre: "a", Distance: func(from, to types.DataCentre) time.Duration {
		return ms(int(from[0] ^ to[0]))
	}})
	p.Update(start, list)
	warm(p, start, list)
	for i, x := range list {
		r := types.NewReport(types.ReportSpec{InFlight: 2 + i%8, Incarnation: 1})
		call(p, start, x.ID(), route.Result{Latency: ms(5), Report: r, HasReport: true})
		p.Start(start, x.ID())
	}
	return p
}

func BenchmarkPick(b *testing.B) {
	for name, policy := range policies {
		b.Run(name, func(b *testing.B) {
			p := busy(policy, 200)
			now := start.Add(ms(7))
			b.ReportAllocs()
			for b.Loop() {
				p.Pick(now, nil)
			}
		})
	}
}

func BenchmarkStartFinish(b *testing.B) {
	p := busy(route.Weighted, 200)
	r := types.NewReport(types.ReportSpec{InFlight: 3, Incarnation: 1})
	b.ReportAllocs()
	for b.Loop() {
		p.Finish(start, p.Start(start, "t3"), route.Result{Latency: ms(5), Report: r, HasReport: true})
	}
}

func BenchmarkPickFor(b *testing.B) {
	p := busy(route.Weighted, 200)
	b.ReportAllocs()
	for b.Loop() {
		p.PickFor(start, 7)
	}
}

func BenchmarkUpdate(b *testing.B) {
	for _, n := range []int{200, 1000, 5200} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			p := busy(route.Weighted, n)
			list := targets(n, "a")
			b.ReportAllocs()
			for b.Loop() {
				p.Update(start, list)
			}
		})
	}
}
