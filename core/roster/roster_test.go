package roster_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"trefoilthread/core/roster"
	"trefoilthread/core/types"
)

func record(node string, boot, seq uint64, state types.TargetState) roster.Record {
	return roster.Record{
		Node: node, Boot: boot, Sequence: seq, Address: node + ":7000", DataCentre: "kl",
		Target: roster.Target{ID: types.TargetID("t-" + node), Service: "bookings", Slots: 12, Born: 5, State: state},
	}
}

var begin = time.Unix(1000, 0)

// Guards against a daemon that is dropped although it serves: the store turned
// it away and its record ran out, but it answers calls.
func TestRecordThatVanished(t *testing.T) {
	is := is.New(t)
	r := roster.New(roster.Options{Self: "self"})
	is.True(r.Learn(record("a", 1, 10, types.Up)))
	is.True(r.Learn(record("b", 1, 11, types.Up)))
	r.Retain(begin, func(string) bool { return false })
	gone, next := r.Expire(begin.Add(time.Second))
	is.Equal(len(gone), 0)
	is.Equal(next, begin.Add(roster.DefaultGrace))
	r.HeardAt(begin.Add(2*time.Second), "a:7000")
	gone, next = r.Expire(begin.Add(roster.DefaultGrace))
	is.Equal(gone, []string{"b"})
	is.Equal(next, begin.Add(2*time.Second+roster.DefaultGrace))
	r.Learn(record("a", 1, 20, types.Up))
	gone, next = r.Expire(begin.Add(time.Hour))
	is.Equal(len(gone), 0)
	is.True(next.IsZero())
}

// Guards against an old record, of a watch that was made again, that undoes a
// newer one; and against a restart that is taken for old news.
func TestOnlyNewerRecordsCount(t *testing.T) {
	is := is.New(t)
	r := roster.New(roster.Options{Self: "self"})
	is.True(r.Learn(record("a", 1, 10, types.Draining)))
	is.True(!r.Learn(record("a", 1, 9, types.Up)))
	is.True(!r.Learn(record("a", 2, 8, types.Up)))
	is.Equal(r.Targets("bookings")[0].State(), types.Draining)
	is.True(r.Learn(record("a", 2, 11, types.Up)))
	is.Equal(r.Targets("bookings")[0].State(), types.Up)
	is.True(!r.Learn(record("self", 1, 12, types.Up)))
	is.Equal(r.Len(), 1)
}

// Guards against calls to a target whose daemon has said that it leaves, and
// against that message applying to a later start.
func TestLeaving(t *testing.T) {
	is := is.New(t)
	r := roster.New(roster.Options{Self: "self"})
	r.Learn(record("a", 1, 10, types.Up))
	is.True(r.Leaving("a", 1))
	is.True(!r.Leaving("a", 1))
	is.Equal(r.Targets("bookings")[0].State(), types.Draining)
	next := record("a", 1, 11, types.Up)
	next.Target.ID = "t-next"
	is.True(r.Learn(next)) // another target beside the same start of the daemon
	is.Equal(r.Targets("bookings")[0].State(), types.Up)
	r.Learn(record("a", 2, 12, types.Up))
	is.Equal(r.Targets("bookings")[0].State(), types.Up)
	is.True(!r.Leaving("a", 1))
	is.Equal(len(r.Targets("stockroom")), 0)
}
