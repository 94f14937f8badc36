package member_test

import (
	"reflect"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"trefoilthread/core/member"
	"trefoilthread/core/types"
)

// Guards against daemons with different views after the same messages in another
// order or with repetitions, across changes of leader.
func TestDirectoriesConverge(t *testing.T) {
	total := 0
	rapid.Check(t, func(t *rapid.T) {
		var all []member.Summary
		var deltas []member.Delta
		var last member.Summary
		now := start
		for epoch := range uint64(3) {
			tb, err := member.NewTable(now, member.TableSpec{DataCentre: "muscat-a", Epoch: epoch + 1, Known: last})
			if err != nil {
				t.Fatal(err)
			}
			all = append(all, tb.Summary())
			for range rapid.IntRange(0, 8).Draw(t, "ops") {
				i, inc := rapid.IntRange(0, 4).Draw(t, "i"), rapid.Uint64Range(1, 3).Draw(t, "inc")
				tg := target(i, inc)
				switch rapid.IntRange(0, 2).Draw(t, "op") {
				case 0:
					tb.Join(now, member.NewJoin(tg, inc))
				case 1:
					tb.Heartbeat(now, member.NewHeartbeat(tg.WithState(types.Draining)))
				default:
					tb.Leave(now, tg.ID(), inc)
				}
				all = append(all, tb.Summary())
				since := rapid.SampledFrom(all).Draw(t, "since")
				if dl, ok := tb.Delta(since.Epoch(), since.Sequence()); ok {
					deltas = append(deltas, recode(t, dl))
				}
			}
			// The next leader may start from an older summary of this one.
			last = rapid.SampledFrom(all).Draw(t, "stored")
		}
		view := func(order []member.Summary) []types.Target {
			d := member.NewDirectory()
			for _, s := range order {
				d.MergeSummary(s)
			}
			var out []types.Target
			for i := range 5 {
				out = append(out, d.Targets(now, target(i, 1).Service())...)
			}
			return out
		}
		want := view(all)
		order := append(rapid.Permutation(all).Draw(t, "order"), rapid.SliceOf(rapid.SampledFrom(all)).Draw(t, "again")...)
		if got := view(order); !reflect.DeepEqual(got, want) {
			t.Fatalf("got %v, want %v", got, want)
		}
		// Any mix of deltas and summaries leads to the same content for each version.
		d, applied := member.NewDirectory(), 0
		for range 20 {
			if len(deltas) > 0 && rapid.Bool().Draw(t, "delta") {
				if d.ApplyDelta(rapid.SampledFrom(deltas).Draw(t, "dl")) {
					applied++
				}
			} else {
				d.MergeSummary(rapid.SampledFrom(all[:len(all)/2+1]).Draw(t, "sum"))
			}
			got := d.Summary("muscat-a")
			for _, s := range all {
				if s.Epoch() == got.Epoch() && s.Sequence() == got.Sequence() && !reflect.DeepEqual(got, s) {
					t.Fatalf("after %d deltas got %v, want %v", applied, got, s)
				}
			}
		}
		total += applied
	})
	if total == 0 {
		t.Fatal("no delta was applied, so deltas were not checked")
	}
	t.Logf("%d deltas applied", total)
}

// recode encodes and decodes a delta.
func recode(t *rapid.T, dl member.Delta) member.Delta {
	b, err := dl.Encode()
	if err == nil {
		dl, err = member.DecodeDelta(b)
	}
	if err != nil {
		t.Fatal(err)
	}
	return dl
}

// Guards against late responses that undo a drain or bring back an old
// incarnation, and against a call without answer that makes a target Down for
// ever.
func TestDirectContactCorrectsRecords(t *testing.T) {
	is := is.New(t)
	tb := newTable(t, member.TableSpec{Epoch: 1}, 0)
	tb.Join(start, member.NewJoin(target(1, 5), 1))
	d := member.NewDirectory()
	is.True(d.MergeSummary(tb.Summary()))
	is.True(!d.MergeSummary(tb.Summary()))
	id := target(1, 5).ID()
	state := func(after time.Duration) types.TargetState {
		tg, ok := d.Target(start.Add(after), id)
		is.True(ok)
		return tg.State()
	}
	is.True(d.Observe(start, id, 5, types.Down))
	is.Equal(state(0), types.Down)
	is.Equal(state(6*time.Second), types.Up)
	d.Observe(start, id, 5, types.Draining)
	d.Observe(start, id, 5, types.Up)
	is.Equal(state(0), types.Draining)
	is.True(!d.Observe(start, id, 4, types.Up))
	d.Observe(start, id, 6, types.Up) // restarted
	is.Equal(state(0), types.Up)
	tb.Leave(start, target(9, 1).ID(), 1)
	tb.Join(start, member.NewJoin(target(1, 6), 2))
	tb.Heartbeat(start, member.NewHeartbeat(target(1, 6).WithState(types.Down)))
	is.True(d.MergeSummary(tb.Summary()))
	is.Equal(state(0), types.Down) // the later record
	is.Equal(state(time.Hour), types.Down)
}
