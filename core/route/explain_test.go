package route_test

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"trefoilthread/core/route"
	"trefoilthread/core/types"
)

// script is a random history of a picker, which is replayed for a second one. A step has
// numbers for its kind, target, pause and state.
type script struct {
	dcs   []types.DataCentre // of the targets
	opts  route.Options
	steps [][4]uint8
	open  int           // targets that get a call after the steps
	idle  time.Duration // after that, which makes stragglers and lets trial calls be due
}

func drawScript(t *rapid.T) script {
	return script{
		dcs: rapid.SliceOfN(rapid.SampledFrom([]types.DataCentre{"a", "b", "p"}), 1, 9).Draw(t, "dcs"),
		opts: route.Options{
			Seed: rapid.Uint64().Draw(t, "seed"), DataCentre: "a", Subset: rapid.IntRange(1, 8).Draw(t, "subset"),
			Distance: func(from, to types.DataCentre) time.Duration { return time.Duration(from[0]^to[0]) * ms(3) },
		},
		steps: rapid.SliceOfN(rapid.Make[[4]uint8](), 0, 60).Draw(t, "steps"),
		open:  rapid.IntRange(0, 9).Draw(t, "open"),
		idle:  ms(rapid.SampledFrom([]int{0, 700, 6000}).Draw(t, "idle")),
	}
}

// replay returns a picker with the history of s and the time after it. each is called before
// each step.
func (s script) replay(each func(p *route.Picker, now time.Time)) (*route.Picker, time.Time) {
	var list []types.Target
	for i, dc := range s.dcs {
		list = append(list, target(i, dc))
	}
	p, now := newPicker(list, s.opts), start
	var open []route.Token
	for _, st := range s.steps {
		each(p, now)
		now = now.Add(ms([]int{0, 1, 60, 700, 6000}[st[2]%5]))
		x := &list[int(st[1])%len(list)]
		switch id := x.ID(); st[0] % 8 {
		case 0: // a call that stays open, which may make a straggler
			open = append(open, p.Start(now, id))
		case 1:
			for range 8 {
				completeCall(p, now, id, route.Result{Latency: ms(2), Failed: true, Outcome: types.Unknown})
			}
		case 2:
			p.Finish(now, p.Start(now, id), route.Result{Unreached: true, Outcome: types.NotRun})
		case 3:
			*x = x.WithState(types.TargetState(st[3] % 3))
			p.Update(now, list)
		case 4:
			if len(open) > 0 {
				p.Finish(now, open[0], route.Result{Latency: ms(30)})
				open = open[1:]
			}
		case 5:
			if y, ok := p.Pick(now, nil); ok {
				open = append(open, p.Start(now, y.ID()))
			}
		case 6:
			completeCall(p, now, id, withReport(types.ReportSpec{InFlight: int(st[3] % 9), Incarnation: 1, Rate: 13, RateLasts: time.Second}))
		default:
			completeCall(p, now, id, route.Result{Latency: ms(5)})
		}
	}
	for _, x := range list[:min(s.open, len(list))] {
		p.Start(now, x.ID())
	}
	return p, now.Add(s.idle)
}

func ignore(*route.Picker, time.Time) {}

// Guards against an explanation that excludes the target to which the call goes.
func TestPickChoosesAnEligibleTarget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p, now := drawScript(t).replay(ignore)
		var tried []types.TargetID
		for {
			n := rapid.SampledFrom([]int{0, 60_000}).Draw(t, "bytes")
			list := p.Explain(now, tried, n)
			got, ok := p.PickForBody(now, tried, n)
			i := slices.IndexFunc(list, func(c route.Candidate) bool { return c.Target().ID() == got.ID() })
			switch {
			case ok && (i < 0 || list[i].Exclusion() != route.Eligible):
				t.Fatalf("%s chosen, explained as %+v", got.ID(), list)
			case !ok && slices.ContainsFunc(list, func(c route.Candidate) bool { return c.Exclusion() == route.Eligible }):
				t.Fatalf("nothing chosen, explained as %+v", list)
			case !ok:
				return
			}
			tried = append(tried, got.ID())
		}
	})
}

// Guards against an order that isn't that of the decision. With two targets at most in each
// group, 127 of 128 decisions sample both. A call that was tried before neither explores nor
// is a trial call. Targets that became suspended in one of the decisions stay so.
func TestPickChoosesTheFirstIfItSamplesAll(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawScript(t)
		s.dcs = []types.DataCentre{"a", "a", "b", "b", "p", "p"}[:min(6, len(s.dcs))]
		s.opts.Subset = 8
		p, now := s.replay(ignore)
		tried := []types.TargetID{"other"}
		for range 20 { // suspends all stragglers
			p.Pick(now, tried)
		}
		list := p.Explain(now, tried, 0)
		if list[0].Exclusion() != route.Eligible {
			return
		}
		hits := 0
		for range 32 {
			got, _ := p.Pick(now, tried)
			if i := slices.IndexFunc(list, func(c route.Candidate) bool { return c.Target().ID() == got.ID() }); list[i].Score() == list[0].Score() {
				hits++ // of equals, either may be chosen
			}
		}
		if hits < 24 {
			t.Fatalf("%d of 32 decisions chose the first of %+v", hits, list)
		}
	})
}

// Guards against an explanation that changes what it explains: a random number that is
// drawn, a straggler that is suspended, a trial call that is taken.
func TestExplainChangesNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawScript(t)
		a, now := s.replay(ignore)
		b, _ := s.replay(func(p *route.Picker, now time.Time) {
			p.Explain(now.Add(ms(50)), []types.TargetID{"t0"}, 60_000)
			p.Explain(now, nil, 0)
		})
		for range 20 {
			b.Explain(now, nil, 0)
			x, okX := a.Pick(now, nil)
			y, okY := b.Pick(now, nil)
			if okX != okY || x.ID() != y.ID() {
				t.Fatalf("%q chosen, %q after explanations", x.ID(), y.ID())
			}
			a.Start(now, x.ID())
			b.Start(now, y.ID())
			now = now.Add(ms(30))
		}
	})
}
