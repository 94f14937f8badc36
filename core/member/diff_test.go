package member_test

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"trefoilthread/core/member"
	"trefoilthread/core/types"
)

// Guards against a directory that differs from the leader's summary after a delta
// between two summaries, and against such a delta being applied to a summary
// between the two, which may lack a target that has gone and come back.
func TestDeltaBetweenSummaries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tb, err := member.NewTable(start, member.TableSpec{DataCentre: "muscat-a", Epoch: 1})
		if err != nil {
			t.Fatal(err)
		}
		all := []member.Summary{tb.Summary()}
		for range rapid.IntRange(2, 20).Draw(t, "ops") {
			i, inc := rapid.IntRange(0, 3).Draw(t, "i"), rapid.Uint64Range(1, 3).Draw(t, "inc")
			tg := target(i, inc)
			switch rapid.IntRange(0, 2).Draw(t, "op") {
			case 0:
				tb.Join(start, member.NewJoin(tg, inc))
			case 1:
				tb.Heartbeat(start, member.NewHeartbeat(tg.WithState(types.Draining)))
			default:
				tb.Leave(start, tg.ID(), inc)
			}
			all = append(all, tb.Summary())
		}
		from := rapid.IntRange(0, len(all)-2).Draw(t, "from")
		known := rapid.IntRange(from, len(all)-1).Draw(t, "known")
		last := all[len(all)-1]
		data, err := last.DeltaFrom(all[from]).Encode()
		if err != nil {
			t.Fatal(err)
		}
		dl, err := member.DecodeDelta(data)
		if err != nil {
			t.Fatal(err)
		}
		d := member.NewDirectory()
		d.MergeSummary(all[known])
		applied := d.ApplyDelta(dl)
		if all[known].Sequence() != all[from].Sequence() && applied {
			t.Fatal("applied to another summary than its base")
		}
		if all[known].Sequence() == all[from].Sequence() && last.Newer(all[known]) && !applied {
			t.Fatal("not applied to its base")
		}
		if !applied {
			return
		}
		want, _ := last.Encode()
		got, _ := d.Summary("muscat-a").Encode()
		if string(got) != string(want) {
			t.Fatal("the directory differs from the leader's summary")
		}
	})
}

// Guards against a delta that contains targets that have not changed.
func TestDeltaIsSmall(t *testing.T) {
	is := is.New(t)
	tb := newTable(t, member.TableSpec{Epoch: 1}, 100)
	old := tb.Summary()
	tb.Heartbeat(start, member.NewHeartbeat(target(7, uint64(start.UnixNano())).WithState(types.Draining)))
	dl := tb.Summary().DeltaFrom(old)
	is.Equal(dl.Len(), 1)
}
