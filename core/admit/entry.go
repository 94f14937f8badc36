package admit

import (
	"time"

	"trefoilthread/core/limit"
	"trefoilthread/core/types"
)

// entry is an accepted call.
type entry struct {
	id       uint64
	place    uint32
	kind     int
	urgent   bool
	running  bool
	canceled bool
	deadline time.Time
	goal     time.Time
	guess    time.Duration // time at the usual pace while none is known
	late     bool          // the answer will miss its goal; value is that of a late one
	value    float64
	pace     float64 // of the host when the call started
	index    int
}

func (e *entry) ticket() Ticket { return Ticket{id: e.id, place: e.place} }

// classKinds is the number of kinds that stand for classes.
const classKinds = 4

// kindOf numbers the calls that have latency averages of their own: by name,
// or by class.
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

// namedKind numbers a kind. Names beyond the bound share the last number.
func (g *Gate) namedKind(name string) int {
	if n, ok := g.kinds[name]; ok {
		return n
	}
	n := classKinds + len(g.kinds)
	if n >= limit.MaxKinds {
		return limit.MaxKinds - 1
	}
	if g.kinds == nil {
		g.kinds = make(map[string]int)
	}
	g.kinds[name] = n
	return n
}
