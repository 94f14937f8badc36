package route_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"trefoilthread/core/route"
)

// agentSubset is the size of the subsets that io/agent selects.
const agentSubset = 6

// placement returns the model of service counter-desk of docs/customers.md, where each agent is
// a caller. The first second doesn't count. Load is relative to what all slots carry on hosts
// at their usual speed.
func placement(load float64, seed uint64) queueModel {
	return queueModel{
		pickers: 34, targets: 34, load: load, oneWay: 900 * time.Microsecond, changeAt: time.Second, end: 11 * time.Second,
		kinds: []callKind{
			{"status", 0.56, ms(160), ms(500), 1},
			{"booking", 0.2, ms(210), ms(500), 1.0 / 2},
			{"history", 0.24, ms(400), ms(2000), 1.0 / 3},
		},
		centres: 4, firstDemand: 2, full: 1.7, hosts: slowTurns{factor: 4, lasts: ms(300)},
		subset: agentSubset, seed: seed,
	}
}

var placementLoads = []float64{0.5, 0.7, 0.85, 1}

// placementPolicies are the compared choices, each of the agent's subset and of all targets. Told
// means that agents report changes of the pace at once, as io/agent does.
var placementPolicies = []struct {
	name   string
	policy route.Policy // nil is the oracle
	subset int
	told   bool
}{
	{"random", route.Random, agentSubset, false},
	{"present", route.Weighted, agentSubset, false},
	{"presentTold", route.Weighted, agentSubset, true},
	{"oracle", nil, agentSubset, false},
	{"randomOfAll", route.Random, 0, false},
	{"presentOfAll", route.Weighted, 0, false},
	{"presentOfAllTold", route.Weighted, 0, true},
	{"oracleOfAll", nil, 0, false},
}

// share returns n as a share of all calls.
func (o outcome) share(n int) float64 { return float64(n) / float64(o.calls) }

// BenchmarkPlacement compares the choice of targets with one that knows the present state of all
// of them, over five seeds; see docs/findings/placement.md.
func BenchmarkPlacement(b *testing.B) {
	const seeds = 5
	for _, load := range placementLoads {
		for _, c := range placementPolicies {
			b.Run(fmt.Sprintf("load=%v/%s", load, c.name), func(b *testing.B) {
				metrics := map[string]float64{}
				for b.Loop() {
					clear(metrics)
					for seed := range uint64(seeds) {
						m := placement(load, seed)
						m.subset, m.tellsPace = c.subset, c.told
						o := m.run(c.policy)
						for name, x := range map[string]float64{
							"prompt": o.share(o.prompt), "refused": o.share(o.refused),
							"p50-ms": o.p50.Seconds() * 1000, "p99-ms": o.p99.Seconds() * 1000,
							"turned-off/call": o.share(o.turnedOff), "crossing/call": o.share(o.crossing), "on-slow/call": o.share(o.onSlow),
						} {
							metrics[name] += x / seeds
						}
					}
				}
				b.ReportMetric(0, "ns/op")
				for name, x := range metrics {
					b.ReportMetric(x, name)
				}
			})
		}
	}
}

// Guards against a choice of targets that is no better than none: at 0.7 of the capacity, at
// least as many calls must be answered within their objective as with a random choice among the
// same targets, on each seed.
func TestPlacementAgainstRandom(t *testing.T) {
	for seed := range uint64(8) {
		m := placement(0.7, seed)
		present, random := m.run(route.Weighted), m.run(route.Random)
		t.Logf("seed %d: present %+v, random %+v", seed, present, random)
		is.New(t).True(present.share(present.prompt) >= random.share(random.prompt))
	}
}
