package whole_test

import (
	"fmt"
	"math"
	"testing"
)

// urgentCase is a load of the two services, and their faults.
type urgentCase struct {
	name       string
	load       [2]float64 // of the used slots of each service
	thirdFront float64    // share of the third type that the front service runs
	callRank   int
	rejecting  [2]int   // number of targets of each service that reject requests
	customers  bool     // requests are those of nine customers of three ranks
	seeds      []uint64 // nil for those of most cases
	slow       bool     // a quarter of the hosts is four times slower by turns
}

// rates returns the arrivals a second of the three types, in the proportions of the deployment
// np, that use the given share of the slots.
func (c urgentCase) rates() [3]float64 {
	const lookups, bookings = 363.0, 130.0
	perFront := lookups*(0.160+callShare*0.045) + bookings*0.210
	scale := func(third float64) float64 {
		return (c.load[front]*frontVMs*urgentUsed - third*c.thirdFront*0.4) / perFront
	}
	third := 0.0
	for range 20 { // the third type's rate depends on that of the calls
		third = (c.load[back]*backVMs*urgentUsed - scale(third)*lookups*callShare*0.04) / 0.4 / max(1-c.thirdFront, 0.1)
	}
	s := scale(third)
	return [3]float64{lookups * s, bookings * s, third}
}

// tolerance is three standard deviations of the difference of two shares of so many requests:
// one in 700 comparisons of equal shares exceeds it.
func tolerance(a, b count) float64 {
	p := float64(a.served+b.served) / float64(a.came+b.came)
	return 3 * math.Sqrt(p*(1-p)*(1/float64(a.came)+1/float64(b.came)))
}

// Guards against a request type that is served in a smaller share than a less urgent one of its
// service, or of the service that its calls use.
func TestUrgencyThroughCalls(t *testing.T) {
	for _, c := range []urgentCase{
		{name: "load 1.3 of both", load: [2]float64{1.3, 1.3}},
		{name: "load 1.6 of both", load: [2]float64{1.6, 1.6}},
		{name: "load 1.6 of the back service", load: [2]float64{0.7, 1.6}},
		{name: "load 1.6 of the back service and calls of rank 3", load: [2]float64{0.7, 1.6}, callRank: 3},
		{name: "load 1.3 and third type at both", load: [2]float64{1.3, 1.3}, thirdFront: 0.3},
		{name: "load 1.6 and third type at both and calls of rank 3", load: [2]float64{1.6, 1.6}, thirdFront: 0.3, callRank: 3},
		{name: "customers and load 1.3 of both", load: [2]float64{1.3, 1.3}, thirdFront: 0.3, customers: true},
		{name: "customers and load 1.6 of both", load: [2]float64{1.6, 1.6}, customers: true},
		{name: "customers and load 1.6 of the back service", load: [2]float64{0.7, 1.6}, customers: true},
		{name: "a quarter of the targets rejects", load: [2]float64{0.6, 0.6}, rejecting: [2]int{2, 2}, thirdFront: 0.3},
		{name: "half of the front targets rejects", load: [2]float64{0.45, 0.45}, rejecting: [2]int{4, 0}},
		{name: "half of the back targets rejects", load: [2]float64{0.45, 0.45}, rejecting: [2]int{0, 3}},
		{name: "half of the targets rejects and load 1.3", load: [2]float64{1.3, 1.3}, rejecting: [2]int{4, 3}},
		{name: "all targets reject", load: [2]float64{0.6, 0.6}, rejecting: [2]int{8, 6}, thirdFront: 0.3},
		{name: "slow hosts", load: [2]float64{0.7, 0.7}, slow: true},
		{name: "slow hosts with other seeds", load: [2]float64{0.7, 0.7}, slow: true, seeds: []uint64{300, 301, 302, 303, 304}},
		{name: "slow hosts and load 1.3", load: [2]float64{1.3, 1.3}, slow: true, thirdFront: 0.3},
	} {
		t.Run(c.name, func(t *testing.T) {
			var sum *urgentModel
			seeds := c.seeds
			if seeds == nil {
				seeds = []uint64{100, 101, 102, 103, 202}
			}
			for _, seed := range seeds {
				m := newUrgentModel(c, seed)
				m.play()
				m.report(t, fmt.Sprint("seed ", seed))
				if sum == nil {
					sum = m
				} else {
					sum.add(m)
				}
			}
			sum.check(t)
		})
	}
}

// lateWorth is the part of its worth that an answer after its goal has.
const lateWorth = 0.1

// worth returns the worth of the answers, relative to that of prompt answers to all requests.
func (m *urgentModel) worth() float64 {
	got, all := 0.0, 0.0
	for _, k := range m.types[:3] {
		for _, c := range k.counts {
			w := 1 / float64(1+k.rank)
			all += w * float64(c.came)
			got += w * (float64(c.prompt) + lateWorth*float64(c.served-c.prompt))
		}
	}
	return got / all
}

// add adds the requests of another play.
func (m *urgentModel) add(o *urgentModel) {
	for i, k := range m.types {
		for service := range k.counts {
			c, d := &k.counts[service], o.types[i].counts[service]
			c.came, c.served, c.prompt = c.came+d.came, c.served+d.served, c.prompt+d.prompt
		}
	}
	for reason, n := range o.why {
		m.why[reason] += n
	}
}

// report logs the shares of a play.
func (m *urgentModel) report(t *testing.T, name string) {
	lookups, bookings, third := m.types[0].counts[front], m.types[1].counts[front], m.types[2].counts
	t.Logf("%s: lookups %.3f of %d, bookings %.3f of %d, third type %.3f of %d and %.3f of %d, calls %.3f of %d", name,
		lookups.share(), lookups.came, bookings.share(), bookings.came, third[front].share(), third[front].came,
		third[back].share(), third[back].came, m.types[3].counts[back].share(), m.types[3].counts[back].came)
	t.Logf("%s: mean worth %.3f", name, m.worth())
}

// check compares the shares of the types that a service runs, and of the first type with those of
// the service that its calls use. It takes all plays together: differences that a decision causes
// stand out from chance then.
func (m *urgentModel) check(t *testing.T) {
	lookups, bookings, third := m.types[0].counts[front], m.types[1].counts[front], m.types[2].counts
	for _, c := range []struct {
		name      string
		high, low count
	}{
		{"lookups below bookings", lookups, bookings},
		{"lookups below the third type of their service", lookups, third[front]},
		{"bookings below the third type of their service", bookings, third[front]},
		{"lookups below the third type of the service of their calls", lookups, third[back]},
	} {
		if c.low.came > 0 && c.high.share() < c.low.share()-tolerance(c.high, c.low) {
			t.Errorf("%s: %.4f, %.4f, tolerance %.4f; failed: %v", c.name, c.high.share(), c.low.share(), tolerance(c.high, c.low), m.why)
		}
	}
}
