// Package roster holds what one daemon believes about the other daemons and
// their targets.
//
// It learns from two sources. The store's records tell who there is; they may
// be old while the store is away, and they vanish when a daemon could not renew
// its lease. Direct contact, an answer or a message of the daemon itself,
// tells that it lives and whether its target takes calls.
//
// # What ends a belief
//
// A record of a later start of a daemon, or a later one of the same start,
// replaces the earlier. A record that has vanished from the store is kept for
// Grace after that and after the last direct contact, whichever is later: a
// daemon that the store turns away still serves, and one that is gone fails its
// next calls without harm. A daemon that says it leaves is removed at once.
//
// After a loss of all VMs the store's records describe earlier starts for up to
// a second, and for a lease's time those of VMs whose addresses others have
// taken over. A daemon that is called for an earlier target therefore describes
// the present one; Meet takes that over until the next record. A daemon that is
// found at an address displaces the others with that address.
//
// # Usage
//
//	r := roster.New(roster.Options{Self: "kl-1"})
//	changed := r.Learn(rec)
//	picker.Update(now, r.Targets(service))
package roster
