package fresh

import "time"

// maxMargin is how long before the bound requests are refused, if the bound is long enough
// for it.
const maxMargin = time.Second

// Clock tracks up to which time the state of the store and the configuration in force are
// known.
type Clock struct {
	bound   time.Duration
	store   moment // all changes of the store up to it are known
	table   moment // the configuration in force is that of the store at it
	wanted  int64  // revision of the latest configuration known to exist
	applied int64  // revision of the latest configuration that was taken over
}

// moment is a time that may be unknown.
type moment struct {
	at      time.Duration
	isKnown bool
}

// New returns a Clock that knows nothing. A removed key may be accepted for bound; 0 means
// that there is no bound.
func New(bound time.Duration) *Clock { return &Clock{bound: bound} }

// IsBound reports whether there is a bound.
func (c *Clock) IsBound() bool { return c.bound > 0 }

// Learn notes that all changes of the store up to a time are known.
func (c *Clock) Learn(at time.Duration) {
	if !c.store.isKnown || at > c.store.at {
		c.store = moment{at: at, isKnown: true}
	}
	c.updateTable()
}

// Want notes that the store holds a configuration of a revision. Until it is applied, the
// knowledge of the configuration ages. It must be called before the Learn that shows it.
func (c *Clock) Want(revision int64) { c.wanted = max(c.wanted, revision) }

// Applied notes that the configuration of a revision was taken over, or isn't valid.
func (c *Clock) Applied(revision int64) {
	c.applied = max(c.applied, revision)
	c.updateTable()
}

// Forget notes that the store has returned from an older copy: nothing is known until all
// keys were read again.
func (c *Clock) Forget() { c.store, c.table = moment{}, moment{} }

// updateTable makes the knowledge of the configuration that of the store if no later
// configuration is known to exist.
func (c *Clock) updateTable() {
	if c.applied >= c.wanted {
		c.table = c.store
	}
}

// StoreAge returns the age of the knowledge of the store, and false if there is none.
func (c *Clock) StoreAge(now time.Duration) (time.Duration, bool) { return c.store.age(now) }

// TableAge returns the age of the knowledge of the configuration, and false if there is none.
func (c *Clock) TableAge(now time.Duration) (time.Duration, bool) { return c.table.age(now) }

// Left returns the time within which a request with a key that is accepted now must start,
// and whether it may be accepted.
func (c *Clock) Left(now time.Duration) (time.Duration, bool) {
	age, ok := c.table.age(now)
	if !ok || !c.IsBound() {
		return 0, !c.IsBound()
	}
	left := c.bound - age
	return left, left > min(maxMargin, c.bound/2)
}

// MayLackKeys reports whether a key that isn't known may have been added to the
// configuration: a new one is in force within half of the bound where the store is reached.
func (c *Clock) MayLackKeys(now time.Duration) bool {
	age, ok := c.table.age(now)
	return c.IsBound() && (!ok || age > c.bound/2)
}

// age returns the age of a moment, and false if it is unknown. A moment that seems to lie
// ahead, by clocks that differ in rate, has age 0.
func (m moment) age(now time.Duration) (time.Duration, bool) { return max(0, now-m.at), m.isKnown }
