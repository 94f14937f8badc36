package roster

import "trefoilthread/core/types"

// Record describes a daemon and its target.
type Record struct {
	Node       string           // name of the daemon
	Boot       uint64           // identifies a start of the daemon; a later start may have a lower number
	Sequence   uint64           // grows with each record of a daemon, across its starts
	Address    string           // TCP address for other daemons
	DataCentre types.DataCentre // where it runs
	Link       float64          // bandwidth of its VM in Mbit/s, 0 if unknown
	Target     Target
}

// Target is the target of a daemon; an empty ID means none.
type Target struct {
	ID      types.TargetID
	Service types.ServiceName
	Slots   int
	Born    uint64 // start of the target, ms since 1970
	State   types.TargetState
}

// exists reports whether the daemon has a target.
func (t Target) exists() bool { return t.ID != "" }
