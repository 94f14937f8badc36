package beat_test

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"trefoilthread/core/beat"
	"trefoilthread/core/types"
)

func announcement(id string, born, seq uint64) beat.Announcement {
	return beat.Announcement{
		ID: types.TargetID(id), Born: born, Sequence: seq, Service: "bookings",
		Address: "10.0.0.1:8080", Slots: 12,
	}
}

func draining(a beat.Announcement) beat.Announcement {
	a.Draining = true
	return a
}

// Guards against late messages that take effect: those of an earlier start at the
// same address, those of the same start with a lower sequence number, and those
// that arrive after Leave.
func TestLateMessagesChangeNothing(t *testing.T) {
	is := is.New(t)
	b := beat.New()
	is.Equal(b.Announce(announcement("a", 100, 5)), beat.Changed)
	is.Equal(b.Announce(announcement("old", 50, 9)), beat.Stale)
	is.Equal(b.Announce(announcement("a", 100, 4)), beat.Stale)
	is.Equal(b.Announce(announcement("a", 100, 6)), beat.Same)
	is.Equal(b.Announce(draining(announcement("a", 100, 7))), beat.Changed)
	is.Equal(b.State(), types.Draining)
	is.Equal(b.Announce(announcement("a", 100, 6)), beat.Stale)
	is.Equal(b.Leave("a", 0), beat.Changed)
	is.Equal(b.Announce(announcement("a", 100, 8)), beat.Stale)
	is.Equal(b.State(), types.Down)
}

// Guards against a target that has said in a response that it leaves, and gets calls again
// because of a heartbeat that doesn't say so, or after a restart of the daemon.
func TestLeavingIsNotUndone(t *testing.T) {
	is := is.New(t)
	b := beat.New()
	b.Announce(announcement("a", 100, 5))
	is.Equal(b.NoteLeaving("b"), beat.Stale)
	is.Equal(b.State(), types.Up)
	is.Equal(b.NoteLeaving("a"), beat.Changed)
	is.Equal(b.NoteLeaving("a"), beat.Same)
	is.Equal(b.Announce(announcement("a", 100, 6)), beat.Same)
	is.Equal(b.Announce(draining(announcement("a", 100, 7))), beat.Same)
	is.Equal(b.State(), types.Draining)
	recorded, _ := b.Current()
	later := beat.New()
	later.Restore(recorded, false)
	is.Equal(later.Announce(announcement("a", 100, 8)), beat.Same)
	is.Equal(later.State(), types.Draining)
	is.Equal(later.Announce(announcement("a", 200, 1)), beat.Changed) // another start
	is.Equal(later.State(), types.Up)
}

// Guards against a restarted target with the same id that is taken for its earlier
// start, because its sequence numbers begin again.
func TestRestartUnderTheSameID(t *testing.T) {
	is := is.New(t)
	b := beat.New()
	b.Announce(announcement("a", 100, 50))
	b.Leave("a", 100)
	is.Equal(b.Announce(announcement("a", 200, 1)), beat.Changed)
	is.Equal(b.State(), types.Up)
	is.Equal(b.Leave("a", 100), beat.Stale)
	is.Equal(b.State(), types.Up)
}

// Guards against a target that gets calls again after its Leave was acknowledged,
// because the record of an earlier start of the daemon is read after it. In a
// scenario run this happened 2 s after the acknowledgement (qattrota-mct
// trouble-3, seed 654295986422).
func TestRecordDoesNotUndoALeave(t *testing.T) {
	is := is.New(t)
	b := beat.New()
	is.Equal(b.Leave("a", 0), beat.Changed)
	b.Restore(announcement("a", 100, 3), false)
	is.Equal(b.State(), types.Down)
	is.Equal(b.Announce(announcement("a", 100, 4)), beat.Stale)
	is.Equal(b.State(), types.Down)
}

// Guards against a late message that brings back a target that had left according
// to the record of an earlier start of the daemon.
func TestRecordOfAGoneTarget(t *testing.T) {
	is := is.New(t)
	b := beat.New()
	is.Equal(b.Restore(announcement("a", 100, 3), true), beat.Changed)
	is.Equal(b.Announce(announcement("a", 100, 4)), beat.Stale)
	is.Equal(b.State(), types.Down)
	is.Equal(b.Announce(announcement("b", 200, 1)), beat.Changed)
	is.Equal(b.State(), types.Up)
}

// Guards against any order of late messages that brings a start back after its
// Leave, or that replaces a start by an earlier one.
func TestGoneStaysGone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := beat.New()
		var newest uint64
		gone := make(map[uint64]bool)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			born := rapid.Uint64Range(1, 4).Draw(t, "born")
			a := announcement("a", born, rapid.Uint64Range(1, 9).Draw(t, "sequence"))
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				b.Announce(a)
				newest = max(newest, born)
			case 1:
				b.Leave(a.ID, born)
				if born >= newest {
					gone[born], newest = true, born
				}
			case 2:
				b.Restore(a, false)
				newest = max(newest, born)
			}
			cur, _ := b.Current()
			if gone[cur.Born] && b.State() != types.Down {
				t.Fatalf("start %d is gone and %s", cur.Born, b.State())
			}
			if cur.Born < newest {
				t.Fatalf("start %d is current, %d was seen", cur.Born, newest)
			}
		}
	})
}
