package route_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"trefoilthread/core/route"
	"trefoilthread/core/types"
)

func incarnation(i int, n uint64) types.Target {
	return types.NewTarget(types.TargetSpec{ID: target(i, "a").ID(), Slots: 12, Incarnation: n})
}

// Guards against a restarted target that gets its full share while it is cold,
// against results of its previous incarnation that count for the new one, and
// against an update that forgets the targets that stay.
func TestNewIncarnationStartsAnew(t *testing.T) {
	is := is.New(t)
	p, list := warmedPicker(5)
	is.Equal(status(p, start, "t0").SlowStartWeight(), 1.0) // only this daemon is new
	old, kept := p.Start(start, "t0"), p.Start(start, "t1")
	list[0] = incarnation(0, 2)
	p.Update(start, list)
	is.True(status(p, start, "t0").InFlight() == 0 && status(p, start, "t1").InFlight() == 1)
	p.Finish(start, old, route.Result{Latency: ms(900), Failed: true})
	p.Finish(start, kept, route.Result{Latency: ms(5)})
	is.Equal(status(p, start, "t0").FailureShare(), 0.0)
	is.True(countPicks(p, start, 500)["t0"] == 0) // the others are idle and warm
	is.Equal(status(p, start.Add(ms(2500)), "t0").SlowStartWeight(), 0.5)
	is.True(countPicks(p, start.Add(5*time.Second), 500)["t0"] > 50)
	// A report of a later incarnation comes before the membership.
	tok := p.Start(start, "t2")
	completeCall(p, start, "t2", withReport(types.ReportSpec{Incarnation: 2}))
	p.Finish(start, tok, route.Result{Latency: ms(5), Failed: true})
	list[2] = list[2].WithState(types.Draining) // of the earlier incarnation
	p.Update(start, list)
	is.True(status(p, start, "t2").Usable())
	completeCall(p, start, "t2", withReport(types.ReportSpec{Incarnation: 1, Draining: true}))
	is.True(status(p, start, "t2").Usable())
	is.True(status(p, start, "t2").FailureShare() == 0 && status(p, start, "t2").SlowStartWeight() == 0.1)
}

// Guards against counts that drift when calls end in any order, twice, or
// after their target left, and against a wrong oldest call.
func TestCallsMatchModel(t *testing.T) {
	type open struct {
		tok route.Token
		at  time.Time
	}
	rapid.Check(t, func(t *rapid.T) {
		p, list := warmedPicker(3)
		var calls [3][]open
		now, gone := start, []route.Token{{}}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Microsecond)
			i := rapid.IntRange(0, 2).Draw(t, "target")
			switch n := len(calls[i]); rapid.IntRange(0, 9).Draw(t, "event") {
			case 0:
				list[i] = incarnation(i, list[i].Incarnation()+1)
				p.Update(now, list)
				for _, c := range calls[i] {
					gone = append(gone, c.tok)
				}
				calls[i] = nil
			case 1, 2, 3, 4:
				if n > 0 {
					k := rapid.IntRange(0, n-1).Draw(t, "call")
					p.Finish(now, calls[i][k].tok, route.Result{Latency: ms(5)})
					gone = append(gone, calls[i][k].tok)
					calls[i] = slices.Delete(calls[i], k, k+1)
				}
			default:
				calls[i] = append(calls[i], open{p.Start(now, list[i].ID()), now})
			}
			p.Finish(now, gone[rapid.IntRange(0, len(gone)-1).Draw(t, "again")], route.Result{Failed: true})
			for i, s := range p.List(now) {
				n, oldest := len(calls[i]), time.Duration(0)
				if n > 0 {
					oldest = now.Sub(calls[i][0].at)
				}
				if s.InFlight() != n || s.OldestAge() != oldest {
					t.Fatalf("t%d: %d calls, oldest %v; want %d, %v", i, s.InFlight(), s.OldestAge(), n, oldest)
				}
			}
		}
	})
}

// Guards against a subset without near targets, one that changes entirely
// when a single target leaves, and targets that no daemon uses.
func TestSubset(t *testing.T) {
	is := is.New(t)
	list := append(targets(100, "near"), targets(400, "far")[100:]...)
	distance := func(_, to types.DataCentre) time.Duration { return ms(5 - len(to)) }
	used := map[types.TargetID]bool{}
	for d := range 200 {
		p := newPicker(list, route.Options{Self: target(d, "").ID(), DataCentre: "near", Distance: distance, Subset: 40})
		before := p.List(start)
		var gone types.TargetID
		size, near, kept := 0, 0, 0
		for _, s := range before {
			if s.InSubset() {
				gone, used[s.Target().ID()] = s.Target().ID(), true
				size++
				if s.Target().DataCentre() == "near" {
					near++
				}
			}
		}
		is.True(size == 40 && near >= 26 && near < 40)
		p.Update(start, slices.DeleteFunc(slices.Clone(list), func(x types.Target) bool { return x.ID() == gone }))
		for _, s := range before {
			if s.InSubset() && s.Target().ID() != gone && status(p, start, s.Target().ID()).InSubset() {
				kept++
			}
		}
		is.Equal(kept, 39)
	}
	is.Equal(len(used), 400)
}

// Guards against daemons that run a suspected request on different targets.
func TestPickForAgrees(t *testing.T) {
	is := is.New(t)
	list := targets(50, "a")
	list[7] = list[7].WithState(types.Down)
	p := newPicker(list, route.Options{Self: "t1", Seed: 1, Subset: 5})
	q := newPicker(append(slices.Clone(list[25:]), list[:25]...), route.Options{Self: "t2", Seed: 2, Subset: 5, DataCentre: "b"})
	seen := map[types.TargetID]int{}
	for f := range types.Fingerprint(2000) {
		x, ok := p.PickFor(start, f)
		y, _ := q.PickFor(start, f)
		is.True(ok && x.ID() == y.ID())
		seen[x.ID()]++
	}
	is.True(len(seen) == 49 && seen["t7"] == 0)
}
