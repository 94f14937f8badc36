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

func names(r *roster.Roster) []string {
	var list []string
	for _, rec := range r.Records() {
		list = append(list, rec.Node)
	}
	return list
}

// Guards against a daemon that is removed although it serves: it could not renew
// the lease of its record, but it answers calls.
func TestRecordThatVanished(t *testing.T) {
	is := is.New(t)
	r := roster.New(roster.Options{Self: "self"})
	is.True(r.Learn(record("a", 1, 10, types.Up)))
	is.True(r.Learn(record("b", 1, 11, types.Up)))
	r.RecordDeleted(begin, "a")
	r.RecordDeleted(begin, "b")
	gone, next := r.Expire(begin.Add(time.Second))
	is.Equal(len(gone), 0)
	is.Equal(next, begin.Add(roster.DefaultGrace))
	r.NoteContactAt(begin.Add(2*time.Second), "a:7000")
	gone, next = r.Expire(begin.Add(roster.DefaultGrace))
	is.Equal(gone, []string{"b"})
	is.Equal(next, begin.Add(2*time.Second+roster.DefaultGrace))
	r.Learn(record("a", 1, 20, types.Up))
	gone, next = r.Expire(begin.Add(time.Hour))
	is.Equal(len(gone), 0)
	is.True(next.IsZero())
}

// Guards against an old record, delivered by a watch that was opened again, that
// replaces a newer one, and against a record of a restart that is ignored as
// outdated.
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

// Guards against calls to a target whose daemon has said that it is leaving, and
// against that message having an effect on a later start or another target.
func TestLeaving(t *testing.T) {
	is := is.New(t)
	r := roster.New(roster.Options{Self: "self"})
	r.Learn(record("a", 1, 10, types.Up))
	is.True(r.SetLeaving("a", 1))
	is.True(!r.SetLeaving("a", 1))
	is.Equal(r.Targets("bookings")[0].State(), types.Draining)
	next := record("a", 1, 11, types.Up)
	next.Target.ID = "t-next"
	is.True(r.Learn(next)) // another target beside the same start of the daemon
	is.Equal(r.Targets("bookings")[0].State(), types.Up)
	r.Learn(record("a", 2, 12, types.Up))
	is.Equal(r.Targets("bookings")[0].State(), types.Up)
	is.True(!r.SetLeaving("a", 1))
	is.Equal(len(r.Targets("stockroom")), 0)
}

// Guards against calls that are sent to a target that is gone, for the lease time
// of its record, because the VM that has its address now answers them. In the run
// tiram-hq-grown trouble-2 a quarter of all calls were refused for this reason.
func TestAddressTakenOver(t *testing.T) {
	is := is.New(t)
	r := roster.New(roster.Options{Self: "self"})
	is.True(r.Learn(record("a", 1, 10, types.Up)))
	next := record("b", 2, 11, types.Up)
	next.Address = "a:7000"
	is.True(r.Learn(next))
	is.Equal(names(r), []string{"b"})
	is.True(!r.Learn(record("a", 1, 10, types.Up))) // read again, still older
	is.Equal(names(r), []string{"b"})
}

// Guards against calls that name earlier targets after all VMs have lost power,
// until every daemon has the new records from the store.
func TestMeet(t *testing.T) {
	is := is.New(t)
	r := roster.New(roster.Options{Self: "self"})
	r.Learn(record("a", 1, 10, types.Up))
	r.SetLeaving("a", 1)
	met := record("a", 2, 0, types.Up)
	met.Target.ID, met.Target.Born = "t-next", 6
	is.True(r.LearnDirect(begin, met))
	is.Equal(r.Targets("bookings")[0].ID(), types.TargetID("t-next"))
	is.Equal(r.Targets("bookings")[0].State(), types.Up)
	is.True(!r.LearnDirect(begin, met))
	is.True(!r.Learn(record("a", 1, 10, types.Up))) // the record that was corrected
	overtaken := met
	overtaken.Target.ID, overtaken.Target.Born = "t-a", 5
	is.True(!r.LearnDirect(begin, overtaken))
	is.Equal(r.Targets("bookings")[0].ID(), types.TargetID("t-next"))
	is.True(r.SetLeaving("a", 2))
	is.True(!r.LearnDirect(begin, met)) // an answer sent before it began to leave
	is.Equal(r.Targets("bookings")[0].State(), types.Draining)
	is.True(r.Learn(record("a", 2, 12, types.Down)))
	is.Equal(r.Targets("bookings")[0].State(), types.Down)
}

// Guards against a daemon that is known from direct contact only, without a record
// in the store, and is never removed.
func TestMetWithoutRecord(t *testing.T) {
	is := is.New(t)
	r := roster.New(roster.Options{Self: "self"})
	r.Learn(record("a", 1, 10, types.Up))
	met := record("b", 2, 7, types.Up)
	met.Address = "a:7000"
	is.True(r.LearnDirect(begin, met))
	is.Equal(names(r), []string{"b"}) // a's address is b's now
	gone, _ := r.Expire(begin.Add(roster.DefaultGrace))
	is.Equal(gone, []string{"b"})
	is.True(r.LearnDirect(begin, met))
	is.True(r.Learn(record("b", 2, 3, types.Up)))
	gone, next := r.Expire(begin.Add(time.Hour))
	is.Equal(len(gone), 0)
	is.True(next.IsZero())
}

// Guards against a daemon that is removed, or taken for another one, after it has
// moved to another address and its earlier address has passed to another daemon.
func TestAddressChanges(t *testing.T) {
	is := is.New(t)
	r := roster.New(roster.Options{Self: "self"})
	r.Learn(record("a", 1, 10, types.Up))
	moved := record("a", 2, 11, types.Up)
	moved.Address = "x:7000"
	is.True(r.Learn(moved))
	next := record("b", 1, 12, types.Up)
	next.Address = "a:7000"
	is.True(r.Learn(next))
	is.Equal(names(r), []string{"a", "b"})
	r.RecordDeleted(begin, "a")
	r.NoteContactAt(begin.Add(time.Second), "x:7000")
	gone, _ := r.Expire(begin.Add(roster.DefaultGrace))
	is.Equal(len(gone), 0)
	gone, _ = r.Expire(begin.Add(time.Second + roster.DefaultGrace))
	is.Equal(gone, []string{"a"})
	is.True(r.Learn(record("c", 1, 13, types.Up)))
	next = record("c", 1, 14, types.Up)
	next.Address = "x:7000" // a is removed, so no daemon is displaced
	is.True(r.Learn(next))
	is.Equal(names(r), []string{"b", "c"})
}
