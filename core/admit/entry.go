package admit

import (
	"time"

	"trefoilthread/core/limit"
	"trefoilthread/core/types"
)

// entry is a call that holds a ticket: offered, waiting or running.
type entry struct {
	id             uint64
	index          uint32
	kind           int
	customer       *customer // nil for none
	customerRank   int
	rank           int // of the route
	urgent         bool
	running        bool
	canceled       bool
	promptOnly     bool // its entry daemon tries other targets after a refusal
	arrived        bool // its body came after a Forecast
	deadline       time.Time
	goal           time.Time
	assumedService time.Duration // service time at the usual pace until one of the kind is known
	demoted        bool          // expected to miss its goal; worthRate is reduced by lateWorthShare
	worthRate      float64
	pace           float64 // of the host when the call started
	heapIndex      int
}

// precedesWhenLate reports whether e would run before o, a call of a less urgent route, even if
// it were demoted.
func (e *entry) precedesWhenLate(o *entry) bool {
	return e.rank < o.rank && !o.arrived && e.customerRank == o.customerRank && e.worthRate*lateWorthShare > o.worthRate
}

func (e *entry) ticket() Ticket { return Ticket{id: e.id, index: e.index} }

// numClassKinds is the number of kind numbers for calls without a named kind,
// one per class.
const numClassKinds = 4

// kindOf returns the number of the kind whose latency estimates apply to c: that
// of its named kind, or of its class if it has none.
func (g *Gate) kindOf(c types.Call) int {
	if c.Kind() != "" {
		return g.namedKind(c.Kind())
	}
	kind := int(c.Class().Runs()) & 1
	if c.Class().Urgent() {
		kind += 2
	}
	return kind
}

// namedKind returns the number of a named kind and assigns one to a new name.
// Names beyond limit.MaxKinds share the last number.
func (g *Gate) namedKind(name string) int {
	if n, ok := g.kinds[name]; ok {
		return n
	}
	n := numClassKinds + len(g.kinds)
	if n >= limit.MaxKinds {
		return limit.MaxKinds - 1
	}
	if g.kinds == nil {
		g.kinds = make(map[string]int)
	}
	g.kinds[name] = n
	return n
}
