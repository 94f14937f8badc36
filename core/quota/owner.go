package quota

import (
	"time"

	"trefoilthread/core/types"
)

const (
	// MaxAge is the age of the knowledge of the store from which on no token is granted.
	MaxAge = 5 * time.Second
	// takeoverTime is the time without grants after a daemon has become the owner. It is
	// longer than MaxAge, since the earlier owner may have learned the last state before
	// the change just then.
	takeoverTime = 5500 * time.Millisecond
	// maxGap is the longest time without recent knowledge after which an owner continues.
	// It is shorter than the 16 s in which the record of a silent daemon is deleted
	// (core/prune).
	maxGap = 15 * time.Second
	// SettleTime is the age of a record from which on a daemon that starts needs no
	// takeoverTime. It allows for ages that are taken on a clock that is wrong by seconds.
	SettleTime = 15 * time.Second
	// resumeTime is the time without grants after such a gap. Changes of records are
	// entered after the age of the knowledge has changed.
	resumeTime = 250 * time.Millisecond
)

// Owner holds the buckets of a daemon for the customers that it owns.
type Owner struct {
	self    string
	dc      types.DataCentre
	dir     *Directory
	changes uint64    // of dir
	learned time.Time // when the latest change of dir was taken over
	buckets map[types.CustomerName]*bucket

	known   time.Time // the state of the store up to then is known, on a clock that counts suspension
	isFresh bool      // the knowledge was younger than MaxAge at the latest Observe
	start   time.Time // no grants before it, set after a start and after a gap in the knowledge

	isRestart bool // the record of this daemon has been in the store for SettleTime
}

// NewOwner returns an Owner of no customers.
func NewOwner(self string, dc types.DataCentre, dir *Directory) *Owner {
	return &Owner{self: self, dc: dc, dir: dir, buckets: make(map[types.CustomerName]*bucket)}
}

// SetRestart notes whether the store has had a record of this daemon for SettleTime when it
// starts, from its earlier starts. They grant no more, and any other owner of the customers
// that the daemon owns by its first recent knowledge has stopped or hasn't known the store for
// long. The daemon therefore continues after resumeTime. It has no effect once the store is
// known.
func (o *Owner) SetRestart(isSettled bool) { o.isRestart = isSettled }

// SetLimits sets the quotas of all customers of the configuration in force. A lower quota
// applies at once, the buckets of removed customers are dropped.
func (o *Owner) SetLimits(now time.Time, limits map[types.CustomerName]Limit) {
	o.learnMembers(now)
	for name := range o.buckets {
		if _, ok := limits[name]; !ok {
			delete(o.buckets, name)
		}
	}
	for name, l := range limits {
		b := o.buckets[name]
		parts := o.dir.Owned(name, l, o.dc, o.self)
		whole := l
		l = l.share(parts, o.dir.Parts(l))
		switch {
		case b == nil, (b.whole.PerSecond == 0) != (whole.PerSecond == 0):
			b = &bucket{whole: whole, limit: l, parts: parts, filled: now}
			if parts > 0 {
				b.since = o.learned // at the earliest
			}
			o.buckets[name] = b
		case b.whole != whole:
			if parts > b.parts { // another daemon may still have the others
				b.since = o.learned
			}
			b.whole, b.parts = whole, parts
			if start, ok := o.entitledFrom(b); ok && !now.Before(start) {
				b.fill(now, start)
			}
			b.setLimit(l)
		}
	}
}

// learnMembers takes over changes of the directory.
func (o *Owner) learnMembers(now time.Time) {
	if o.changes == o.dir.Changes() {
		return
	}
	o.changes, o.learned = o.dir.Changes(), now
	for name, b := range o.buckets {
		parts := o.dir.Owned(name, b.whole, o.dc, o.self)
		switch {
		case parts == 0:
			b.since = time.Time{}
		case parts > b.parts: // another daemon may still have the others
			b.since = now
		}
		if parts != b.parts {
			b.parts = parts
			b.setLimit(b.whole.share(parts, o.dir.Parts(b.whole)))
		}
	}
}

// Observe takes the age of the knowledge of the store, and changes of the directory. seen is
// the time on a clock that counts suspension. It has to be called several times a second, as
// a longer time between calls may hide a gap, and counts as one if it is as long as MaxAge.
func (o *Owner) Observe(now, seen time.Time, age time.Duration) {
	o.learnMembers(now)
	gap := seen.Sub(o.known)
	wasFresh := o.isFresh && gap < MaxAge
	o.isFresh = age < MaxAge
	if !o.isFresh {
		return
	}
	if !wasFresh {
		wait := resumeTime
		switch {
		case o.known.IsZero() && o.isRestart:
			o.continueOwned(now)
		case o.known.IsZero(), gap > maxGap:
			wait = takeoverTime
		}
		if at := now.Add(wait); at.After(o.start) {
			o.start = at
		}
	}
	if k := seen.Add(-age); k.After(o.known) {
		o.known = k
	}
}

// continueOwned makes the customers that this daemon owns count as owned for takeoverTime.
func (o *Owner) continueOwned(now time.Time) {
	o.learned = now.Add(-takeoverTime)
	for _, b := range o.buckets {
		if !b.since.IsZero() {
			b.since = o.learned
		}
	}
}

// entitledFrom returns the time from which on tokens of a bucket may be granted, and false
// if they may not.
func (o *Owner) entitledFrom(b *bucket) (time.Time, bool) {
	if !o.isFresh || b.since.IsZero() {
		return time.Time{}, false
	}
	start := b.since.Add(takeoverTime)
	if o.start.After(start) {
		start = o.start
	}
	return start, true
}

// Grant answers a request for tokens of a customer. Observe has to be called right before.
func (o *Owner) Grant(now time.Time, c types.CustomerName, want int) Grant {
	b := o.buckets[c]
	if b == nil || want <= 0 {
		return Grant{}
	}
	if b.whole.PerSecond == 0 {
		return Grant{Entitled: true, Count: want}
	}
	start, ok := o.entitledFrom(b)
	if !ok || now.Before(start) {
		return Grant{}
	}
	b.fill(now, start)
	return b.take(now, want)
}

// Owned returns the number of customers with a quota that this daemon owns.
func (o *Owner) Owned() int {
	n := 0
	for _, b := range o.buckets {
		if !b.since.IsZero() && b.whole.PerSecond > 0 {
			n++
		}
	}
	return n
}
