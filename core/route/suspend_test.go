package route_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"trefoilthread/core/route"
	"trefoilthread/core/types"
)

// Guards against a straggler that is only noticed when its calls end, gets
// more than one trial call at a time, or never comes back.
func TestStragglerIsSuspendedByAge(t *testing.T) {
	is := is.New(t)
	p, list := warmedPicker(5)
	var later []route.Token
	hung := p.Start(start, "t0")
	for _, x := range list[1:] {
		p.Finish(start.Add(ms(6)), p.Start(start, x.ID()), route.Result{Latency: ms(6)})
		later = append(later, p.Start(start.Add(ms(40)), x.ID()))
	}
	is.True(!status(p, start.Add(ms(40)), "t0").Suspended())
	now := start.Add(ms(50))
	is.Equal(countPicks(p, now, 500)["t0"], 0)
	is.True(status(p, now, "t0").Suspended())
	for _, tok := range later {
		p.Finish(now, tok, route.Result{Latency: ms(10)})
	}
	now = start.Add(ms(150))
	for range 200 {
		x, _ := p.Pick(now, []types.TargetID{"t1"})
		is.True(x.ID() != "t0") // a retry is never a trial call
	}
	is.Equal(countPicks(p, now, 500)["t0"], 1) // also without Start in between
	trial := p.Start(now, "t0")                // the trial call hangs as well
	now = now.Add(ms(3000))
	is.Equal(countPicks(p, now, 500)["t0"], 0)
	p.Finish(now, trial, route.Result{Latency: ms(3000)})
	is.Equal(countPicks(p, now.Add(ms(199)), 500)["t0"], 0) // the pause has doubled
	now = now.Add(ms(200))
	is.Equal(countPicks(p, now, 500)["t0"], 1)
	p.Finish(now, p.Start(now, "t0"), route.Result{Failed: true})
	is.Equal(countPicks(p, now.Add(ms(399)), 500)["t0"], 0) // the pause has doubled again
	now = now.Add(ms(400))
	is.Equal(countPicks(p, now, 500)["t0"], 1)
	p.Finish(now.Add(ms(5)), p.Start(now, "t0"), route.Result{Latency: ms(5)})
	now = now.Add(time.Minute)
	countPicks(p, now, 500) // the first call still hangs, but later ones end
	is.True(!status(p, now, "t0").Suspended())
	p.Finish(now, hung, route.Result{Outcome: types.Canceled, Latency: time.Minute})
	is.True(countPicks(p, now.Add(time.Minute), 500)["t0"] > 20)
}

// Guards against a sound target whose trial calls lose to hedges, and whose next trial call
// comes later each time.
func TestCanceledTrialDoublesNoPause(t *testing.T) {
	is := is.New(t)
	p, _ := warmedPicker(5)
	hung := p.Start(start, "t0")
	now := start.Add(ms(50))
	countPicks(p, now, 1000) // meets t0
	p.Finish(now, hung, route.Result{Outcome: types.Canceled, Latency: ms(50)})
	for range 5 {
		now = now.Add(ms(100))
		is.Equal(countPicks(p, now, 500)["t0"], 1)
		p.Finish(now, p.Start(now.Add(-ms(10)), "t0"), route.Result{Outcome: types.Canceled, Latency: ms(10)})
		is.Equal(countPicks(p, now.Add(ms(99)), 500)["t0"], 0) // not sooner either
	}
}

// Guards against a hung target that gets a trial call each 100 ms, because each of them loses to a
// hedge.
func TestHungTrialsAreRare(t *testing.T) {
	is := is.New(t)
	p, _ := warmedPicker(5)
	hung := p.Start(start, "t0")
	now := start.Add(ms(50))
	countPicks(p, now, 1000) // meets t0
	p.Finish(now, hung, route.Result{Outcome: types.Canceled, Latency: ms(50)})
	trials := 0
	for range 100 {
		now = now.Add(ms(100))
		if countPicks(p, now, 500)["t0"] == 1 {
			trials++
			p.Finish(now, p.Start(now.Add(-ms(60)), "t0"), route.Result{Outcome: types.Canceled, Latency: ms(60)})
		}
	}
	is.True(trials < 10) // the pauses double up to 5 s
}

// Guards against calls that wait for connections to VMs that have lost power while others
// are left: five of six targets are dark for three seconds, in which each connection
// attempt takes 300 ms. With so many suspended, suspension is ignored. A call takes 400 ms,
// so the age of a waiting call doesn't show a straggler.
func TestUnreachedTargetsAreLeftForAMoment(t *testing.T) {
	const (
		well    = types.TargetID("t0")
		outage  = 3 * time.Second
		perCall = 50 * time.Millisecond // time between two calls
		wait    = 300 * time.Millisecond
		bound   = 5 * 3 // one attempt a second at each dark target
	)
	is := is.New(t)
	list := targets(6, "a")
	p := newPicker(list, route.Options{})
	for i := range 60 {
		completeCall(p, start, list[i%6].ID(), route.Result{Latency: ms(400)})
	}
	type attempt struct {
		end    time.Time
		tokens []route.Token // calls that wait for it
	}
	open := map[types.TargetID]*attempt{}
	attempts := 0
	for now := start; now.Before(start.Add(outage)); now = now.Add(perCall) {
		for id, a := range open {
			if a.end.After(now) {
				continue
			}
			for _, tok := range a.tokens {
				p.Finish(now, tok, route.Result{Latency: wait, Outcome: types.Unknown, Failed: true, Unreached: true})
			}
			delete(open, id)
		}
		x, ok := p.Pick(now, nil)
		is.True(ok)
		if x.ID() == well {
			completeCall(p, now, well, route.Result{Latency: ms(400)})
			continue
		}
		a := open[x.ID()]
		if a == nil {
			attempts++
			a = &attempt{end: now.Add(wait)}
			open[x.ID()] = a
		}
		a.tokens = append(a.tokens, p.Start(now, x.ID()))
	}
	t.Logf("%d attempts", attempts)
	is.True(attempts <= bound)
}

// Guards against targets that aren't reached and all left out, and against one that has
// shown that it is there.
func TestUnreachedTargetsAreTheLastResort(t *testing.T) {
	is := is.New(t)
	p, list := warmedPicker(2)
	for _, x := range list {
		p.Finish(start, p.Start(start, x.ID()), route.Result{Failed: true, Unreached: true})
	}
	_, ok := p.Pick(start, nil)
	is.True(ok) // none is left, so one of them is tried
	p.ApplyReport(start, "t1", types.NewReport(types.ReportSpec{Incarnation: 1}))
	is.Equal(countPicks(p, start, 50)["t1"], 50) // it has shown that it is there
}

// Guards against a target that fails fast and looks idle and quick, and
// against a single failure that removes a good target.
func TestFailFastTargetIsSuspended(t *testing.T) {
	is := is.New(t)
	p, list := warmedPicker(5)
	for i := range 6 {
		is.True(!status(p, start, "t0").Suspended())
		completeCall(p, start, "t0", route.Result{Latency: ms(1) / 10, Failed: true})
		is.Equal(status(p, start, "t0").Latency(), ms(5)) // short failures don't count
		if i == 2 {
			for k := range 12 { // three calls in flight at each of the others
				p.Start(start, list[1+k%4].ID())
			}
			is.Equal(countPicks(p, start, 500)["t0"], 0)
		}
	}
	is.True(status(p, start, "t0").Suspended())
	// Alone it is still picked: the caller has nothing better.
	x, ok := p.Pick(start, []types.TargetID{"t1", "t2", "t3", "t4"})
	is.True(ok && x.ID() == "t0")
}

// Guards against trial calls of many daemons that raise the tail latency, and
// against a daemon with few calls that never tries again.
func TestTrialsAreFewOfTheCalls(t *testing.T) {
	is := is.New(t)
	p, _ := warmedPicker(5)
	for range 8 {
		completeCall(p, start, "t0", route.Result{Latency: ms(1), Failed: true})
		completeCall(p, start, "t1", route.Result{Latency: ms(1), Failed: true})
	}
	is.Equal(len(countPicks(p, start.Add(ms(4000)), 199)), 3)
	got := countPicks(p, start.Add(ms(4000)), 40)
	is.Equal(got["t0"]+got["t1"], 1)
	is.Equal(len(countPicks(p, start.Add(ms(8999)), 40)), 3)
	got = countPicks(p, start.Add(ms(9000)), 40)
	is.Equal(got["t0"]+got["t1"], 1)
}

// Guards against refusals that suspend a full target like a broken one, or
// that leave its traffic as it is.
func TestRefusalsLowerTrafficWithoutSuspension(t *testing.T) {
	is := is.New(t)
	p, _ := warmedPicker(5)
	for range 100 {
		completeCall(p, start, "t0", route.Result{Latency: ms(1), Outcome: types.NotRun})
	}
	is.True(!status(p, start, "t0").Suspended())
	is.Equal(countPicks(p, start, 500)["t0"], 0)
	is.True(countPicks(p, start.Add(time.Minute), 500)["t0"] > 20)
}

// Guards against a fault of all targets, or of the calls, that moves all
// traffic to the few targets that aren't suspended yet.
func TestSuspensionIsIgnoredForMostTargets(t *testing.T) {
	is := is.New(t)
	p, list := warmedPicker(5)
	for n := range 4 {
		for range 8 {
			completeCall(p, start, list[n].ID(), route.Result{Latency: ms(1), Outcome: types.Unknown})
		}
		now := start.Add(time.Minute) // penalties have faded, suspension hasn't
		completeCall(p, now, "t4", route.Result{Latency: ms(5)})
		got := countPicks(p, now, 500)
		is.True(n >= 2 || got["t0"] <= 1)
		is.True(n < 2 || got["t0"] > 20 && got["t1"] > 20 && got["t2"] > 20)
	}
}
