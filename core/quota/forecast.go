package quota

import (
	"slices"
	"time"
)

// MayServe reports whether a request might get a token now: there is one here, or an owner
// may be asked for one. It changes nothing. If it returns false, IsUsedUp tells why.
func (a *Asker) MayServe(now time.Time, owners []string, silent *Silent) bool {
	if slices.ContainsFunc(a.lots, func(l lot) bool { return now.Before(l.expires) }) {
		return true
	}
	_, ok := a.Next(now, owners, silent)
	return ok
}
