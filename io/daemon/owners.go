package daemon

import (
	"trefoilthread/core/claims"
	"trefoilthread/core/types"
)

// owner returns the daemon that keeps a partition of idempotency keys. Daemons
// with different views may disagree; the store decides then.
func (d *Daemon) owner(index int) (types.Target, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.owners == nil {
		d.findOwners()
	}
	t, ok := d.owners[index]
	if !ok {
		return t, false
	}
	if known, ok := d.dir.Target(d.now(), t.ID()); ok {
		t = known
	}
	return t, true
}

// findOwners computes the owners of all partitions. Daemons whose target
// drains are about to stop and keep nothing, unless no other is left. d.mu is
// held.
func (d *Daemon) findOwners() {
	byID := map[types.TargetID]types.Target{}
	var ids, last []types.TargetID
	for _, dc := range d.dir.DataCentres() {
		s := d.dir.Summary(dc)
		for i := range s.Len() {
			t, ok := d.dir.Target(d.now(), s.Target(i).ID())
			if !ok {
				continue
			}
			byID[t.ID()] = t
			last = append(last, t.ID())
			if t.State() == types.Up {
				ids = append(ids, t.ID())
			}
		}
	}
	if len(ids) == 0 {
		ids = last
	}
	d.owners = make(map[int]types.Target, d.set.Partitions())
	for p := range d.set.Partitions() {
		if id, ok := claims.Owner(p, ids); ok {
			d.owners[p] = byID[id]
		}
	}
}

// membersMoved makes the owners be computed anew and gives up the partitions
// that belong to other daemons now.
func (d *Daemon) membersMoved() {
	d.mu.Lock()
	d.owners = nil
	d.mu.Unlock()
	d.keepMu.Lock()
	kept := make([]*keeper, 0, len(d.keepers))
	for _, k := range d.keepers {
		kept = append(kept, k)
	}
	d.keepMu.Unlock()
	for _, k := range kept {
		if t, ok := d.owner(k.index); ok && t.ID() != d.id {
			k.abdicate()
		}
	}
}
