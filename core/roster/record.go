package roster

import "trefoilthread/core/types"

// Record is what a daemon says of itself and its target.
type Record struct {
	Node       string           // name of the daemon
	Boot       uint64           // start of the daemon; a later start is not always higher
	Sequence   uint64           // grows with each record of a node, over all its starts
	Address    string           // TCP address for other daemons
	DataCentre types.DataCentre // where it runs
	Link       float64          // of its VM, Mbit/s, 0 if unknown
	Target     Target
}

// Target is the target beside a daemon; without an ID there is none.
type Target struct {
	ID      types.TargetID
	Service types.ServiceName
	Slots   int
	Born    uint64 // start of the target, ms since 1970
	State   types.TargetState
}

// known returns whether there is a target.
func (t Target) known() bool { return t.ID != "" }
