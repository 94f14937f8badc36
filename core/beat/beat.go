package beat

import (
	"time"

	"trefoilthread/core/types"
)

// Announcement is one message of a target about itself.
type Announcement struct {
	ID       types.TargetID
	Born     uint64 // start of the target, ms since 1970, 0 if not given
	Sequence uint64 // grows with each message of one start
	Service  types.ServiceName
	Address  string // HTTP address of the target
	Version  string // of the target's software
	Slots    int
	Draining bool
	Cold     time.Duration // how much longer the target stays slow after its start
}

// Verdict is what a message changed.
type Verdict uint8

const (
	// Same means that the message confirms what is known.
	Same Verdict = iota
	// Changed means that the target or its state is another one.
	Changed
	// Stale means that the message is older than what is known.
	Stale
)

// String returns the name used in logs.
func (v Verdict) String() string {
	return [...]string{"same", "changed", "stale"}[v]
}

// Beat is what one daemon knows of its target. It is not safe for concurrent
// use.
type Beat struct {
	current Announcement
	known   bool
	gone    bool
}

// New returns a Beat without a target.
func New() *Beat { return &Beat{} }

// Announce takes a message of a target.
func (b *Beat) Announce(a Announcement) Verdict {
	if !b.known {
		b.current, b.known = a, true
		return Changed
	}
	if b.isOlder(a) {
		return Stale
	}
	if !b.isSameStart(a.ID, a.Born) {
		b.current, b.gone = a, false
		return Changed
	}
	if a.Sequence < b.current.Sequence || b.gone {
		return Stale
	}
	old := b.current
	b.current = a
	if old.Draining != a.Draining || old.Slots != a.Slots || old.Service != a.Service || old.Address != a.Address {
		return Changed
	}
	return Same
}

// Leave takes the last message of a target, which carries its start time if
// born is not 0.
func (b *Beat) Leave(id types.TargetID, born uint64) Verdict {
	switch {
	case !b.known:
		b.current, b.known = Announcement{ID: id, Born: born}, true
	case born > b.current.Born && b.current.Born != 0:
		// A start that was never announced here has ended.
		b.current = Announcement{ID: id, Born: born}
	case id != b.current.ID || born != 0 && born < b.current.Born:
		return Stale
	case b.gone:
		return Same
	}
	b.gone = true
	return Changed
}

// isOlder reports whether a is from an earlier start than the current one.
func (b *Beat) isOlder(a Announcement) bool {
	return a.Born != 0 && a.Born < b.current.Born
}

func (b *Beat) isSameStart(id types.TargetID, born uint64) bool {
	return id == b.current.ID && (born == b.current.Born || b.current.Born == 0)
}

// Current returns the newest message, and false if none has come.
func (b *Beat) Current() (Announcement, bool) { return b.current, b.known }

// State returns the state of the target: Down without one or after it left.
func (b *Beat) State() types.TargetState {
	switch {
	case !b.known || b.gone:
		return types.Down
	case b.current.Draining:
		return types.Draining
	}
	return types.Up
}

// Restore takes over what an earlier start of the daemon has recorded. It is
// older than any message of the same start, and than one that doesn't name its
// start.
func (b *Beat) Restore(a Announcement, gone bool) Verdict {
	if !b.known {
		b.current, b.known, b.gone = a, true, gone
		return Changed
	}
	if b.current.Born == 0 && b.current.ID == a.ID {
		b.current = a
		return Changed
	}
	if b.current.Born == 0 || a.Born < b.current.Born {
		return Stale
	}
	if b.isSameStart(a.ID, a.Born) {
		if !gone || b.gone {
			return Stale
		}
		b.gone = true
		return Changed
	}
	b.current, b.gone = a, gone
	return Changed
}
