package config

import (
	"slices"
	"time"
)

// Refusals is the immutable record of the last MaxAudit refused changes.
type Refusals struct {
	entries []Entry
}

// Add returns a copy with an entry for a refused change.
func (r Refusals) Add(c Change, reason error, now time.Time) Refusals {
	e := newEntry(c, now)
	e.from = c.Base()
	e.refused = cut(reason.Error(), maxReason)
	return Refusals{entries: appendBounded(r.entries, e, MaxAudit)}
}

// Entries returns a copy of the entries, oldest first.
func (r Refusals) Entries() []Entry { return slices.Clone(r.entries) }
