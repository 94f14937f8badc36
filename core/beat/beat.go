package beat

import (
	"time"

	"trefoilthread/core/types"
)

// Announcement is a heartbeat of a target, which describes it.
type Announcement struct {
	ID       types.TargetID
	Born     uint64 // start of the target, ms since 1970, 0 if not given
	Sequence uint64 // grows with each message of a start
	Service  types.ServiceName
	Address  string // HTTP address of the target
	Version  string // of the target's software
	Slots    int
	Draining bool
	Cold     time.Duration // remaining time of the target's cold start
	// Leaving means that the target has said in a response that it leaves. Unlike Draining
	// it isn't part of a heartbeat and holds until the end of this start.
	Leaving bool
}

// takesNoCalls reports whether the target takes no new calls.
func (a Announcement) takesNoCalls() bool { return a.Draining || a.Leaving }

// Verdict is the effect of a message.
type Verdict uint8

const (
	// Same means that the message changes neither the target nor its state.
	Same Verdict = iota
	// Changed means that the target or its state has changed.
	Changed
	// Stale means that the message is ignored, because it is older than what is
	// known or its start has ended.
	Stale
)

// String returns the name used in logs.
func (v Verdict) String() string {
	return [...]string{"same", "changed", "stale"}[v]
}

// Tracker is the state of a daemon's target. It is not safe for concurrent use.
type Tracker struct {
	current Announcement
	known   bool // current is set
	gone    bool // the current start has sent its last message
}

// New returns a Tracker without a target.
func New() *Tracker { return &Tracker{} }

// Announce handles a heartbeat of a target.
func (b *Tracker) Announce(a Announcement) Verdict {
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
	a.Leaving = old.Leaving
	b.current = a
	if old.takesNoCalls() != a.takesNoCalls() || old.Slots != a.Slots || old.Service != a.Service || old.Address != a.Address {
		return Changed
	}
	return Same
}

// Leave handles the last message of a target. A born of 0 means that the message
// does not carry the start time.
func (b *Tracker) Leave(id types.TargetID, born uint64) Verdict {
	switch {
	case !b.known:
		b.current, b.known = Announcement{ID: id, Born: born}, true
	case born > b.current.Born && b.current.Born != 0:
		// A later start, whose announcement has not arrived, has ended.
		b.current = Announcement{ID: id, Born: born}
	case id != b.current.ID || born != 0 && born < b.current.Born:
		return Stale
	case b.gone:
		return Same
	}
	b.gone = true
	return Changed
}

// NoteLeaving handles a response in which the target with an id says that it leaves. Its
// later heartbeats don't undo that.
func (b *Tracker) NoteLeaving(id types.TargetID) Verdict {
	switch {
	case !b.known || b.gone || id != b.current.ID:
		return Stale
	case b.current.Leaving:
		return Same
	}
	wasDraining := b.current.Draining
	b.current.Leaving = true
	if wasDraining {
		return Same
	}
	return Changed
}

// isOlder reports whether a is from an earlier start than the current one.
func (b *Tracker) isOlder(a Announcement) bool {
	return a.Born != 0 && a.Born < b.current.Born
}

// isSameStart reports whether a message is from the current start. If the start
// time of the current one is not known, the id decides.
func (b *Tracker) isSameStart(id types.TargetID, born uint64) bool {
	return id == b.current.ID && (born == b.current.Born || b.current.Born == 0)
}

// Current returns the newest announcement, and false if no message has arrived.
func (b *Tracker) Current() (Announcement, bool) { return b.current, b.known }

// State returns the state of the target, which is Down if none is known or after
// Leave.
func (b *Tracker) State() types.TargetState {
	switch {
	case !b.known || b.gone:
		return types.Down
	case b.current.takesNoCalls():
		return types.Draining
	}
	return types.Up
}

// Restore takes over the state that an earlier start of the daemon has recorded.
// It counts as older than any message of the same start, and than a message that
// does not carry its start time.
func (b *Tracker) Restore(a Announcement, gone bool) Verdict {
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
