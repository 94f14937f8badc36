package poison

import (
	"cmp"
	"slices"
	"time"

	"trefoilthread/core/types"
)

// maxDeaths bounds the deaths of one record. A request that is part of most
// traffic is in flight at each crash; it is cleared after each.
const maxDeaths = 16

type death struct {
	id      DeathID
	at      time.Time
	cleared bool
}

// record is the state of one request, deaths from the latest to the earliest.
type record struct {
	fingerprint types.Fingerprint
	deaths      []death
	expiry      time.Duration
	refused     time.Time // latest refusal by this daemon, which the others aren't told
	// charged is the suspicion by the deaths that are not cleared, known the one by all.
	// The record is kept as long as all count, so that a late report does not bring a
	// cleared death back.
	charged, known suspicion
}

// add merges one death.
func (r *record) add(d death) {
	i := slices.IndexFunc(r.deaths, func(o death) bool { return o.id == d.id })
	if i < 0 {
		r.deaths = append(r.deaths, d)
	} else {
		o := &r.deaths[i]
		o.cleared = o.cleared || d.cleared
		if d.at.Before(o.at) {
			o.at = d.at
		}
	}
	slices.SortFunc(r.deaths, func(a, b death) int {
		return cmp.Or(
			b.at.Compare(a.at), cmp.Compare(a.id.Target, b.id.Target),
			cmp.Compare(a.id.Incarnation, b.id.Incarnation), cmp.Compare(a.id.Number, b.id.Number),
		)
	})
	r.deaths = r.deaths[:min(len(r.deaths), maxDeaths)]
	r.update()
}

// clear marks all deaths as cleared.
func (r *record) clear() {
	for i := range r.deaths {
		r.deaths[i].cleared = true
	}
	r.update()
}

func (r *record) update() {
	all := slices.Clone(r.deaths)
	slices.Reverse(all)
	r.known = suspicionBy(all, r.expiry)
	r.charged = suspicionBy(slices.DeleteFunc(all, func(d death) bool { return d.cleared }), r.expiry)
}

func (r *record) status(now time.Time) Status { return r.charged.status(now, r.refused, r.expiry) }

// release returns when the quarantine ends if the request doesn't come again before.
func (r *record) release() time.Time { return r.charged.release(r.refused, r.expiry) }

// isExpired reports whether the record says nothing more.
func (r *record) isExpired(now time.Time) bool { return !now.Before(r.known.end(r.expiry)) }

// isReleased reports whether the request has been quarantined and is a suspect since.
func (r *record) isReleased(now time.Time) bool {
	return r.charged.deaths >= int(Quarantined) && r.status(now) == Suspect
}

// latest returns the time of the latest death.
func (r *record) latest() time.Time { return r.deaths[0].at }

func (r *record) entry(now time.Time) Entry {
	e := Entry{Fingerprint: r.fingerprint}
	for _, d := range r.deaths {
		e.Deaths = append(e.Deaths, Death{ID: d.id, Age: max(0, now.Sub(d.at)), Cleared: d.cleared})
	}
	return e
}

// compareWorth returns the order of records by how long a full table keeps
// them, the most important first.
func compareWorth(now time.Time) func(a, b *record) int {
	return func(a, b *record) int {
		return cmp.Or(
			cmp.Compare(b.status(now), a.status(now)), b.latest().Compare(a.latest()),
			cmp.Compare(a.fingerprint, b.fingerprint),
		)
	}
}
