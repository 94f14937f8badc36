package roster

import (
	"math"
	"slices"
	"strings"
	"time"

	"trefoilthread/core/types"
)

// DefaultGrace is how long a daemon whose record was deleted from the store is
// kept without direct contact. Daemons that are alive write their records again
// within about two seconds after a store outage.
const DefaultGrace = 2500 * time.Millisecond

// Options configure a Roster.
type Options struct {
	Self  string        // name of this daemon; its own record isn't kept
	Grace time.Duration // DefaultGrace if not positive
}

// Roster is the set of known daemons. It is not safe for concurrent use.
type Roster struct {
	opts      Options
	nodes     map[string]*node
	byAddress map[string]*node // no two nodes have the same address
	missing   int              // number of nodes whose record was deleted
}

// node is a known daemon.
type node struct {
	rec          Record
	fromContact  bool      // rec is from direct contact, newer than the record of its Sequence
	lastContact  time.Time // zero if there was none
	missingSince time.Time // when the record was deleted, zero if it was not
	leaving      bool      // the daemon has said so since rec
}

// New returns an empty roster.
func New(o Options) *Roster {
	if o.Grace <= 0 {
		o.Grace = DefaultGrace
	}
	return &Roster{opts: o, nodes: make(map[string]*node), byAddress: make(map[string]*node)}
}

// Learn handles a record from the store and reports whether the targets changed.
// Any record of a daemon shows that its record is in the store; an outdated one has
// no other effect. Records of this daemon are ignored.
func (r *Roster) Learn(rec Record) bool {
	if rec.Node == "" || rec.Node == r.opts.Self {
		return false
	}
	n := r.nodes[rec.Node]
	if n == nil {
		if !r.displace(rec.Node, rec.Address, rec.Sequence) {
			return false
		}
		r.add(&node{rec: rec})
		return true
	}
	r.clearMissing(n)
	isKnown := rec.Boot == n.rec.Boot || n.fromContact
	if isKnown && rec.Sequence <= n.rec.Sequence || rec.Sequence < n.rec.Sequence {
		return false
	}
	if !r.displace(rec.Node, rec.Address, rec.Sequence) {
		return false
	}
	n.leaving, n.fromContact = false, false
	changed := n.rec != rec
	r.replace(n, rec)
	return changed
}

// LearnDirect handles a description that a daemon gives of itself in direct contact, and
// reports whether the targets changed. The description is used until the next
// record of the daemon. A daemon without a record is kept like one whose record
// was deleted.
func (r *Roster) LearnDirect(now time.Time, rec Record) bool {
	if rec.Node == "" || rec.Node == r.opts.Self {
		return false
	}
	before := len(r.nodes)
	r.displace(rec.Node, rec.Address, math.MaxUint64)
	n := r.nodes[rec.Node]
	if n == nil {
		rec.Sequence = 0
		r.add(&node{rec: rec, fromContact: true, lastContact: now})
		r.RecordDeleted(now, rec.Node)
		return true
	}
	n.lastContact = now
	if rec.Target.Born <= n.rec.Target.Born {
		return len(r.nodes) != before // the same start of the target, or a late answer of an earlier one
	}
	rec.Sequence = n.rec.Sequence
	r.replace(n, rec)
	n.fromContact, n.leaving = true, false
	return true
}

func (r *Roster) add(n *node) {
	r.nodes[n.rec.Node] = n
	r.byAddress[n.rec.Address] = n
}

// replace sets the record of a known node and its entry by address.
func (r *Roster) replace(n *node, rec Record) {
	delete(r.byAddress, n.rec.Address)
	n.rec = rec
	r.byAddress[rec.Address] = n
}

func (r *Roster) remove(n *node) {
	r.clearMissing(n)
	delete(r.nodes, n.rec.Node)
	delete(r.byAddress, n.rec.Address)
}

// displace removes another daemon from an address that node has as of a sequence.
// Otherwise the answers of node would count as direct contact with the other. It
// reports false, and removes nothing, if the record of the other is newer than
// that sequence.
func (r *Roster) displace(node, addr string, sequence uint64) bool {
	n := r.byAddress[addr]
	if n == nil || n.rec.Node == node {
		return true
	}
	if n.rec.Sequence > sequence {
		return false
	}
	r.remove(n)
	return true
}

// RecordDeleted records that the record of a daemon was deleted from the store.
func (r *Roster) RecordDeleted(now time.Time, name string) {
	if n := r.nodes[name]; n != nil && n.missingSince.IsZero() {
		n.missingSince = now
		r.missing++
	}
}

// clearMissing records that a node's record is in the store again.
func (r *Roster) clearMissing(n *node) {
	if !n.missingSince.IsZero() {
		n.missingSince = time.Time{}
		r.missing--
	}
}

// NoteContact records direct contact with a daemon.
func (r *Roster) NoteContact(now time.Time, name string) {
	if n := r.nodes[name]; n != nil {
		n.lastContact = now
	}
}

// NoteContactAt records direct contact with the daemon at an address. It does nothing
// unless a record is missing, to be cheap on the path of each call.
func (r *Roster) NoteContactAt(now time.Time, addr string) {
	if r.missing == 0 {
		return
	}
	if n := r.byAddress[addr]; n != nil {
		n.lastContact = now
	}
}

// SetLeaving records that a daemon has said that its target takes no new calls, and
// reports whether that was not known. It has no effect for another start of the
// daemon than the known one.
func (r *Roster) SetLeaving(name string, boot uint64) bool {
	n := r.nodes[name]
	if n == nil || n.rec.Boot != boot || n.leaving {
		return false
	}
	n.leaving = true
	return true
}

// Expire removes the daemons whose record was deleted and which had no direct
// contact for Grace. It returns their names, sorted, and when to call it again,
// zero if no record is missing.
func (r *Roster) Expire(now time.Time) (gone []string, next time.Time) {
	for name, n := range r.nodes {
		if n.missingSince.IsZero() {
			continue
		}
		since := n.missingSince
		if n.lastContact.After(since) {
			since = n.lastContact
		}
		due := since.Add(r.opts.Grace)
		if !now.Before(due) {
			gone = append(gone, name)
			r.remove(n)
			continue
		}
		if next.IsZero() || due.Before(next) {
			next = due
		}
	}
	slices.Sort(gone)
	return gone, next
}

// LastContact returns the time of the latest direct contact with a daemon, zero if there
// was none.
func (r *Roster) LastContact(name string) time.Time {
	if n := r.nodes[name]; n != nil {
		return n.lastContact
	}
	return time.Time{}
}

// Len returns the number of known daemons.
func (r *Roster) Len() int { return len(r.nodes) }

// Address returns the address of a daemon, "" if the daemon is not known.
func (r *Roster) Address(name string) string {
	if n := r.nodes[name]; n != nil {
		return n.rec.Address
	}
	return ""
}

// Records returns all records sorted by name.
func (r *Roster) Records() []Record {
	recs := make([]Record, 0, len(r.nodes))
	for _, n := range r.nodes {
		recs = append(recs, n.rec)
	}
	slices.SortFunc(recs, func(a, b Record) int { return strings.Compare(a.Node, b.Node) })
	return recs
}

// Targets returns the targets of a service, sorted by daemon.
func (r *Roster) Targets(service types.ServiceName) []types.Target {
	var found []*node
	for _, n := range r.nodes {
		if n.rec.Target.exists() && n.rec.Target.Service == service {
			found = append(found, n)
		}
	}
	slices.SortFunc(found, func(a, b *node) int { return strings.Compare(a.rec.Node, b.rec.Node) })
	list := make([]types.Target, len(found))
	for i, n := range found {
		list[i] = n.rec.target(n.leaving)
	}
	return list
}

// target returns the target in its present state.
func (rec Record) target(leaving bool) types.Target {
	state := rec.Target.State
	if leaving {
		state = types.Draining
	}
	return types.NewTarget(types.TargetSpec{
		ID: rec.Target.ID, Service: rec.Target.Service, DataCentre: rec.DataCentre,
		Address: rec.Address, Slots: rec.Target.Slots, Link: rec.Link,
		Incarnation: rec.Target.Born, Sequence: rec.Sequence, State: state,
	})
}
