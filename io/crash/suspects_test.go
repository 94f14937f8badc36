package crash_test

import (
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"trefoilthread/core/types"
	"trefoilthread/io/crash"
	"trefoilthread/io/logs"
	"trefoilthread/io/mesh"
)

func newSuspects(self string, clock clockwork.Clock, broadcast func(n *mesh.Notice)) *crash.Suspects {
	return crash.New(crash.Options{Self: self, Boot: 1, Clock: clock, Log: logs.Discard(), Broadcast: broadcast})
}

// refuses is Refuse without the time.
func refuses(s *crash.Suspects, fp types.Fingerprint) bool {
	_, ok := s.Refuse(fp)
	return ok
}

// Guards against a request that crashes a third target after it has crashed two at
// different agents, and against refusing a harmless request that was running at one of
// the deaths.
func TestRequestThatCrashesTargets(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	var a, b *crash.Suspects
	a = newSuspects("a", clock, func(n *mesh.Notice) { b.Merge(n.Suspects) })
	b = newSuspects("b", clock, func(n *mesh.Notice) { a.Merge(n.Suspects) })
	deadly := crash.Fingerprint("bookings", "POST", "/x", []byte("crash"))
	calm := crash.Fingerprint("bookings", "POST", "/x", []byte("calm"))
	for _, s := range []*crash.Suspects{a, b} {
		is.True(!refuses(s, deadly))
		s.Begin(deadly)
		s.Begin(calm)
		s.End(deadly, mesh.Broken)
		s.End(calm, mesh.Broken)
		s.TargetDied()
		s.Begin(calm)
		s.End(calm, mesh.Answered)
	}
	for _, s := range []*crash.Suspects{a, b} {
		is.True(refuses(s, deadly))
		is.True(!refuses(s, calm))
	}
	clock.Advance(2 * crash.Expiry)
	is.True(!refuses(a, deadly))
	is.True(a.IsOnTrial(deadly))
}

// newQuarantined returns the suspects of an agent whose target died twice with a request.
func newQuarantined(is *is.I) (*crash.Suspects, types.Fingerprint, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClock()
	s := newSuspects("a", clock, func(*mesh.Notice) {})
	fp := crash.Fingerprint("bookings", "GET", "/x", nil)
	for range 2 {
		is.True(s.Begin(fp))
		s.TargetDied()
	}
	return s, fp, clock
}

// Guards against a quarantine that ends while the request still comes at an agent, whose
// refusals nobody counts.
func TestRefusalsAreCounted(t *testing.T) {
	is := is.New(t)
	s, fp, clock := newQuarantined(is)
	clock.Advance(crash.Expiry - 1)
	wait, ok := s.Refuse(fp)
	is.True(ok)
	is.Equal(wait, crash.Expiry)
	clock.Advance(wait - 1)
	is.True(!s.IsOnTrial(fp))
	clock.Advance(1)
	is.True(s.IsOnTrial(fp))
}

// Guards against a released request that is sent again after a trial that broke off, and
// against one that stays on trial after a good answer.
func TestRequestOnTrial(t *testing.T) {
	for _, result := range []mesh.Result{mesh.Broken, mesh.Answered} {
		is := is.New(t)
		clock := clockwork.NewFakeClock()
		var a, b *crash.Suspects
		a = newSuspects("a", clock, func(n *mesh.Notice) { b.Merge(n.Suspects) })
		b = newSuspects("b", clock, func(n *mesh.Notice) { a.Merge(n.Suspects) })
		fp := crash.Fingerprint("bookings", "GET", "/x", nil)
		for range 2 {
			is.True(a.Begin(fp))
			a.TargetDied()
		}
		is.True(refuses(b, fp))
		clock.Advance(crash.Expiry)
		is.True(a.IsOnTrial(fp) && b.IsOnTrial(fp))
		is.True(b.Begin(fp))
		is.True(!b.Begin(fp)) // one trial at a time
		b.End(fp, result)
		is.True(!a.IsOnTrial(fp) && !b.IsOnTrial(fp))
		is.Equal(refuses(a, fp), result == mesh.Broken)
		is.Equal(refuses(b, fp), result == mesh.Broken)
	}
}

// Guards against a request that is blamed for a crash, and quarantined once more, though the
// target declined it or it didn't reach the target.
func TestDeclinedTrialIsNoDeath(t *testing.T) {
	is := is.New(t)
	s, fp, clock := newQuarantined(is)
	clock.Advance(crash.Expiry)
	is.True(s.Begin(fp))
	s.End(fp, mesh.Refused)
	is.True(s.IsOnTrial(fp))
	is.True(s.Begin(fp)) // at once
	s.End(fp, mesh.Answered)
	is.True(!s.IsOnTrial(fp) && !refuses(s, fp))
}
