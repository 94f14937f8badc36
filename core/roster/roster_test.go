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

// Guards against a daemon that is dropped although it serves: the store turned
// it away and its record ran out, but it answers calls.
func TestRecordThatVanished(t *testing.T) {
	is := is.New(t)
	r := roster.New(roster.Options{Self: "self"})
	is.True(r.Learn(record("a", 1, 10, types.Up)))
	is.True(r.Learn(record("b", 1, 11, types.Up)))
	r.Missing(begin, "a")
	r.Missing(begin, "b")
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

// Guards against calls that go on for a lease's time to a target that is gone,
// because the VM that took over its address answers them: on tiram-hq-grown
// trouble-2 a quarter of all calls were refused so.
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

// Guards against calls that name earlier targets until the store's records have
// reached all, after all VMs have lost power.
func TestMeet(t *testing.T) {
	is := is.New(t)
	r := roster.New(roster.Options{Self: "self"})
	r.Learn(record("a", 1, 10, types.Up))
	r.Leaving("a", 1)
	met := record("a", 2, 0, types.Up)
	met.Target.ID, met.Target.Born = "t-next", 6
	is.True(r.Meet(begin, met))
	is.Equal(r.Targets("bookings")[0].ID(), types.TargetID("t-next"))
	is.Equal(r.Targets("bookings")[0].State(), types.Up)
	is.True(!r.Meet(begin, met))
	is.True(!r.Learn(record("a", 1, 10, types.Up))) // the record that was corrected
	overtaken := met
	overtaken.Target.ID, overtaken.Target.Born = "t-a", 5
	is.True(!r.Meet(begin, overtaken))
	is.Equal(r.Targets("bookings")[0].ID(), types.TargetID("t-next"))
	is.True(r.Leaving("a", 2))
	is.True(!r.Meet(begin, met)) // an answer sent before it began to leave
	is.Equal(r.Targets("bookings")[0].State(), types.Draining)
	is.True(r.Learn(record("a", 2, 12, types.Down)))
	is.Equal(r.Targets("bookings")[0].State(), types.Down)
}

// Guards against a daemon that was met and never written to the store staying
// for ever.
func TestMetWithoutRecord(t *testing.T) {
	is := is.New(t)
	r := roster.New(roster.Options{Self: "self"})
	r.Learn(record("a", 1, 10, types.Up))
	met := record("b", 2, 7, types.Up)
	met.Address = "a:7000"
	is.True(r.Meet(begin, met))
	is.Equal(names(r), []string{"b"}) // a's address is b's now
	gone, _ := r.Expire(begin.Add(roster.DefaultGrace))
	is.Equal(gone, []string{"b"})
	is.True(r.Meet(begin, met))
	is.True(r.Learn(record("b", 2, 3, types.Up)))
	gone, next := r.Expire(begin.Add(time.Hour))
	is.Equal(len(gone), 0)
	is.True(next.IsZero())
}

// Guards against a daemon that is dropped, or taken for another one, after it has
// moved to another address and its earlier one went to another daemon.
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
	r.Missing(begin, "a")
	r.HeardAt(begin.Add(time.Second), "x:7000")
	gone, _ := r.Expire(begin.Add(roster.DefaultGrace))
	is.Equal(len(gone), 0)
	gone, _ = r.Expire(begin.Add(time.Second + roster.DefaultGrace))
	is.Equal(gone, []string{"a"})
	is.True(r.Learn(record("c", 1, 13, types.Up)))
	next = record("c", 1, 14, types.Up)
	next.Address = "x:7000" // a is gone, so nobody is displaced
	is.True(r.Learn(next))
	is.Equal(names(r), []string{"b", "c"})
}
