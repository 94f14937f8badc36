package admit

import (
	"time"

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
	value    float64
	index    int
}

func (e *entry) ticket() Ticket { return Ticket{id: e.id, place: e.place} }

// kindOf numbers the classes that have latency averages of their own.
func kindOf(c types.Class) int {
	kind := int(c.Runs()) & 1
	if c.Urgent() {
		kind += 2
	}
	return kind
}
