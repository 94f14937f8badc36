package quota

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"trefoilthread/core/types"
)

// partsPerCentre is the number of parts of a quota in each data centre. With two, the loss of
// a daemon costs half as much, and the parts of few lost daemons rarely meet in one customer.
const partsPerCentre = 2

// minBucket is the smallest size in tokens of a bucket of more than one part in a data centre.
const minBucket = 3

// Directory holds the daemons that have records in the store, by data centre. All daemons
// have the same list of data centres.
type Directory struct {
	centres []types.DataCentre // those that have owners, sorted; none if all daemons share one owner
	byName  map[string]types.DataCentre
	members map[types.DataCentre]map[string]uint64 // hashes of the names
	changes uint64
}

// NewDirectory returns a directory without daemons. Without data centres all daemons count as
// one.
func NewDirectory(centres []types.DataCentre) *Directory {
	list := slices.Clone(centres)
	slices.Sort(list)
	list = slices.Compact(list)
	return &Directory{
		centres: list[:min(len(list), MaxOwners)],
		byName:  make(map[string]types.DataCentre), members: make(map[types.DataCentre]map[string]uint64),
	}
}

// Parts returns the number of parts of a quota. A small quota has fewer, as its buckets would
// hold hardly a token.
func (d *Directory) Parts(l Limit) int { return max(1, len(d.centres)) * d.perCentre(l) }

// perCentre returns the number of parts of a quota in one data centre.
func (d *Directory) perCentre(l Limit) int {
	centres := max(1, len(d.centres))
	if centres*partsPerCentre > MaxOwners || l.Burst+extraBurst < float64(minBucket*centres*partsPerCentre) {
		return 1
	}
	return partsPerCentre
}

// Changes returns a number that differs after each change.
func (d *Directory) Changes() uint64 { return d.changes }

// Set enters a daemon with a record, or its other data centre.
func (d *Directory) Set(name string, dc types.DataCentre) {
	if old, ok := d.byName[name]; ok && old == dc {
		return
	}
	d.Remove(name)
	d.byName[name] = dc
	part := d.part(dc)
	if d.members[part] == nil {
		d.members[part] = make(map[string]uint64)
	}
	d.members[part][name] = xxhash.Sum64String(name)
	d.changes++
}

// Remove removes a daemon whose record is gone.
func (d *Directory) Remove(name string) {
	dc, ok := d.byName[name]
	if !ok {
		return
	}
	delete(d.byName, name)
	delete(d.members[d.part(dc)], name)
	d.changes++
}

// Names returns the daemons, sorted.
func (d *Directory) Names() []string { return slices.Sorted(maps.Keys(d.byName)) }

// part returns the key of the members of a data centre.
func (d *Directory) part(dc types.DataCentre) types.DataCentre {
	if len(d.centres) == 0 {
		return ""
	}
	return dc
}

// Owned returns the number of parts of a customer's quota that a daemon owns in its data
// centre. The parts go to the daemons in the order of their hashes, several to each if there
// are too few.
func (d *Directory) Owned(c types.CustomerName, l Limit, dc types.DataCentre, name string) int {
	owners := d.ownersIn(c, dc)
	rank := slices.Index(owners, name)
	if rank < 0 {
		return 0
	}
	n := 0
	for i := rank; i < d.perCentre(l); i += len(owners) {
		n++
	}
	return n
}

// Owners returns the possible owners of a customer in the order in which a daemon of a data
// centre asks them: those there first, the others from there on, so that the daemons of different
// data centres don't all turn to the same one next.
func (d *Directory) Owners(c types.CustomerName, from types.DataCentre) []string {
	if len(d.centres) == 0 {
		return d.ownersIn(c, "")
	}
	first, _ := slices.BinarySearch(d.centres, from)
	var list []string
	for i := range d.centres {
		list = append(list, d.ownersIn(c, d.centres[(first+i)%len(d.centres)])...)
	}
	return list
}

// ownersIn returns the possible owners of a customer in a data centre: the members with the
// highest rendezvous hashes, in order of the name if they are equal.
func (d *Directory) ownersIn(c types.CustomerName, dc types.DataCentre) []string {
	if len(d.centres) > 0 && !slices.Contains(d.centres, dc) {
		return nil
	}
	members := d.members[d.part(dc)]
	customer := mix(xxhash.Sum64String(string(c)))
	names := slices.SortedFunc(maps.Keys(members), func(a, b string) int {
		return cmp.Or(cmp.Compare(mix(members[b]+customer), mix(members[a]+customer)), cmp.Compare(a, b))
	})
	return names[:min(len(names), partsPerCentre)]
}

// mix is the finalizer of SplitMix64, which spreads a change of any bit over all bits.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
