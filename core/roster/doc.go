// Package roster is one daemon's view of the other daemons and their targets.
//
// It has two sources. The records in the store list the daemons. They may be out
// of date during a store outage, and a record may be deleted while its daemon
// can't be reached. Direct contact, that is an answer or a message of a
// daemon, shows that it is alive and whether its target takes calls.
//
// # Replacement and removal
//
// A record of a later start of a daemon, or a later one of the same start,
// replaces the earlier one. A daemon whose record was deleted from the store is
// kept for Grace after the deletion or after the last direct contact, whichever
// is later: a daemon that the store refuses still serves, and if it is gone,
// the next calls to it fail without harm. The target of a daemon that says
// that it is leaving counts as draining at once.
//
// After a restart of all VMs the records in the store describe earlier starts
// for up to a second. Those of VMs whose addresses have passed to others stay
// until they are deleted. A daemon that is called for an earlier target therefore
// answers with a description of the present one, and LearnDirect uses that until the
// next record. A daemon that is found at an address replaces any other with that
// address.
//
// # Usage
//
//	r := roster.New(roster.Options{Self: "kl-1"})
//	changed := r.Learn(rec)
//	picker.Update(now, r.Targets(service))
package roster
