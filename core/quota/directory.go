package quota

import (
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"trefoilthread/core/types"
)

// Directory holds the daemons that have records in the store, by data centre. All daemons
// have the same list of data centres.
type Directory struct {
	centres []types.DataCentre // those that have owners, sorted; none if all daemons share one owner
	byName  map[string]types.DataCentre
	members map[types.DataCentre]map[string]uint64 // hashes of the names
	changes uint64
}

// NewDirectory returns a directory without daemons. Without data centres a customer has one
// owner over all daemons.
func NewDirectory(centres []types.DataCentre) *Directory {
	list := slices.Clone(centres)
	slices.Sort(list)
	list = slices.Compact(list)
	return &Directory{
		centres: list[:min(len(list), MaxOwners)],
		byName:  make(map[string]types.DataCentre), members: make(map[types.DataCentre]map[string]uint64),
	}
}

// Len returns the number of parts of a quota.
func (d *Directory) Len() int { return max(1, len(d.centres)) }

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

// Owner returns the owner of a customer in a data centre, "" if there is none.
func (d *Directory) Owner(c types.CustomerName, dc types.DataCentre) string {
	part := d.part(dc)
	if len(d.centres) > 0 && !slices.Contains(d.centres, dc) {
		return ""
	}
	return best(d.members[part], xxhash.Sum64String(string(c)))
}

// Owners returns the owners of a customer in the order in which a daemon of a data centre
// asks them: its own first, the others from there on, so that the daemons of different data
// centres don't all turn to the same one next.
func (d *Directory) Owners(c types.CustomerName, from types.DataCentre) []string {
	hash := xxhash.Sum64String(string(c))
	if len(d.centres) == 0 {
		return appendOwner(nil, best(d.members[""], hash))
	}
	first, _ := slices.BinarySearch(d.centres, from)
	var list []string
	for i := range d.centres {
		dc := d.centres[(first+i)%len(d.centres)]
		list = appendOwner(list, best(d.members[dc], hash))
	}
	return list
}

func appendOwner(list []string, name string) []string {
	if name == "" {
		return list
	}
	return append(list, name)
}

// best returns the member with the highest rendezvous hash, the first one by name of equals.
func best(members map[string]uint64, customer uint64) string {
	var name string
	var top uint64
	for m, hash := range members {
		w := mix(hash + mix(customer))
		if name == "" || w > top || w == top && m < name {
			name, top = m, w
		}
	}
	return name
}

// mix is the finalizer of SplitMix64, which spreads a change of any bit over all bits.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
