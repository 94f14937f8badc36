package roster

import (
	"math"
	"slices"
	"strings"
	"time"

	"trefoilthread/core/types"
)

// DefaultGrace is how long a record that vanished from the store is kept
// without direct contact. Daemons that live have their records back within
// about two seconds of the store's return.
const DefaultGrace = 2500 * time.Millisecond

// Options configure a Roster.
type Options struct {
	Self  string        // name of this daemon; its own record isn't kept
	Grace time.Duration // default DefaultGrace
}

// Roster is the set of known daemons. It is not safe for concurrent use.
type Roster struct {
	opts    Options
	nodes   map[string]*node
	at      map[string]*node // by address; no two nodes have the same one
	missing int              // nodes whose record has vanished
}

type node struct {
	rec     Record
	met     bool      // rec is newer than the record of its Sequence
	heard   time.Time // last direct contact
	missing time.Time // when the record vanished, zero while it is there
	leaving bool      // said so itself since the record
}

// New returns an empty roster.
func New(o Options) *Roster {
	if o.Grace <= 0 {
		o.Grace = DefaultGrace
	}
	return &Roster{opts: o, nodes: make(map[string]*node), at: make(map[string]*node)}
}

// Learn takes a record from the store and reports whether the targets changed.
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
	r.found(n)
	isKnown := rec.Boot == n.rec.Boot || n.met
	if isKnown && rec.Sequence <= n.rec.Sequence || rec.Sequence < n.rec.Sequence {
		return false
	}
	if !r.displace(rec.Node, rec.Address, rec.Sequence) {
		return false
	}
	n.leaving, n.met = false, false
	changed := n.rec != rec
	r.replace(n, rec)
	return changed
}

// Meet takes what a daemon says of itself in direct contact, and reports
// whether the targets changed. It counts until the next record of the daemon.
// One without a record is kept like one whose record has vanished.
func (r *Roster) Meet(now time.Time, rec Record) bool {
	if rec.Node == "" || rec.Node == r.opts.Self {
		return false
	}
	before := len(r.nodes)
	r.displace(rec.Node, rec.Address, math.MaxUint64)
	n := r.nodes[rec.Node]
	if n == nil {
		rec.Sequence = 0
		r.add(&node{rec: rec, met: true, heard: now})
		r.Missing(now, rec.Node)
		return true
	}
	n.heard = now
	if rec.Target.Born <= n.rec.Target.Born {
		return len(r.nodes) != before // nothing new, or an answer that was overtaken
	}
	rec.Sequence = n.rec.Sequence
	r.replace(n, rec)
	n.met, n.leaving = true, false
	return true
}

func (r *Roster) add(n *node) {
	r.nodes[n.rec.Node] = n
	r.at[n.rec.Address] = n
}

// replace sets the record of a known node.
func (r *Roster) replace(n *node, rec Record) {
	delete(r.at, n.rec.Address)
	n.rec = rec
	r.at[rec.Address] = n
}

func (r *Roster) remove(n *node) {
	r.found(n)
	delete(r.nodes, n.rec.Node)
	delete(r.at, n.rec.Address)
}

// displace removes the other daemon at the address of a node that is known to
// be there since a sequence: the node took the address over, and its answers
// would be taken for signs of life of the one before. It reports false if
// another daemon is there since.
func (r *Roster) displace(node, addr string, sequence uint64) bool {
	n := r.at[addr]
	if n == nil || n.rec.Node == node {
		return true
	}
	if n.rec.Sequence > sequence {
		return false
	}
	r.remove(n)
	return true
}

// Missing notes that the record of a node has vanished from the store.
func (r *Roster) Missing(now time.Time, name string) {
	if n := r.nodes[name]; n != nil && n.missing.IsZero() {
		n.missing = now
		r.missing++
	}
}

// found notes that a node's record is there.
func (r *Roster) found(n *node) {
	if !n.missing.IsZero() {
		n.missing = time.Time{}
		r.missing--
	}
}

// Heard notes direct contact with a node.
func (r *Roster) Heard(now time.Time, name string) {
	if n := r.nodes[name]; n != nil {
		n.heard = now
	}
}

// HeardAt notes direct contact with the node at an address. It matters only
// while records are missing, and costs nothing otherwise.
func (r *Roster) HeardAt(now time.Time, addr string) {
	if r.missing == 0 {
		return
	}
	if n := r.at[addr]; n != nil {
		n.heard = now
	}
}

// Leaving notes that a start of a daemon said that its target takes no new
// calls, and reports whether that is news.
func (r *Roster) Leaving(name string, boot uint64) bool {
	n := r.nodes[name]
	if n == nil || n.rec.Boot != boot || n.leaving {
		return false
	}
	n.leaving = true
	return true
}

// Expire removes nodes that are missing and were not heard of for Grace. It
// returns their names and when to ask again, zero if no node is missing.
func (r *Roster) Expire(now time.Time) (gone []string, next time.Time) {
	for name, n := range r.nodes {
		if n.missing.IsZero() {
			continue
		}
		since := n.missing
		if n.heard.After(since) {
			since = n.heard
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

// Len returns the number of known daemons.
func (r *Roster) Len() int { return len(r.nodes) }

// Address returns where a daemon takes calls, "" if it isn't known.
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
		if n.rec.Target.known() && n.rec.Target.Service == service {
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

func (rec Record) target(leaving bool) types.Target {
	state := rec.Target.State
	if leaving {
		state = types.Draining
	}
	return types.NewTarget(types.TargetSpec{
		ID: rec.Target.ID, Service: rec.Target.Service, DataCentre: rec.DataCentre,
		Address: rec.Address, Slots: rec.Target.Slots,
		Incarnation: rec.Target.Born, Sequence: rec.Sequence, State: state,
	})
}
