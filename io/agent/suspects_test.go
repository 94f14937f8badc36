package agent_test

import (
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"trefoilthread/core/types"
	"trefoilthread/io/agent"
	"trefoilthread/io/logs"
	"trefoilthread/io/mesh"
)

// Guards against a request that crashes a third target after it has crashed two at
// different agents, and against refusing a harmless request that was running at one of
// the deaths.
func TestRequestThatCrashesTargets(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	var a, b *agent.Suspects
	a = agent.NewSuspects("a", 1, clock, logs.Discard(), func(n *mesh.Notice) { agent.Merge(b, n.Suspects) })
	b = agent.NewSuspects("b", 1, clock, logs.Discard(), func(n *mesh.Notice) { agent.Merge(a, n.Suspects) })
	crash := agent.Fingerprint("bookings", "POST", "/x", []byte("crash"))
	calm := agent.Fingerprint("bookings", "POST", "/x", []byte("calm"))
	for _, s := range []*agent.Suspects{a, b} {
		is.True(!s.Refuses(crash))
		s.Begin(crash)
		s.Begin(calm)
		agent.End(s, crash, mesh.Broken)
		agent.End(s, calm, mesh.Broken)
		s.TargetDied()
		s.Begin(calm)
		agent.End(s, calm, mesh.Answered)
	}
	for _, s := range []*agent.Suspects{a, b} {
		is.True(s.Refuses(crash))
		is.True(!s.Refuses(calm))
	}
	clock.Advance(2 * agent.SuspectExpiry)
	is.True(!a.Refuses(crash))
	is.True(a.IsOnTrial(crash))
}

// newQuarantined returns the suspects of an agent whose target died twice with a request.
func newQuarantined(is *is.I) (*agent.Suspects, types.Fingerprint, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClock()
	s := agent.NewSuspects("a", 1, clock, logs.Discard(), func(*mesh.Notice) {})
	fp := agent.Fingerprint("bookings", "GET", "/x", nil)
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
	clock.Advance(agent.SuspectExpiry - 1)
	wait, ok := s.Refuse(fp)
	is.True(ok)
	is.Equal(wait, agent.SuspectExpiry)
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
		var a, b *agent.Suspects
		a = agent.NewSuspects("a", 1, clock, logs.Discard(), func(n *mesh.Notice) { agent.Merge(b, n.Suspects) })
		b = agent.NewSuspects("b", 1, clock, logs.Discard(), func(n *mesh.Notice) { agent.Merge(a, n.Suspects) })
		fp := agent.Fingerprint("bookings", "GET", "/x", nil)
		for range 2 {
			is.True(a.Begin(fp))
			a.TargetDied()
		}
		is.True(b.Refuses(fp))
		clock.Advance(agent.SuspectExpiry)
		is.True(a.IsOnTrial(fp) && b.IsOnTrial(fp))
		is.True(b.Begin(fp))
		is.True(!b.Begin(fp)) // one trial at a time
		agent.End(b, fp, result)
		is.True(!a.IsOnTrial(fp) && !b.IsOnTrial(fp))
		is.Equal(a.Refuses(fp), result == mesh.Broken)
		is.Equal(b.Refuses(fp), result == mesh.Broken)
	}
}

// Guards against a request that is blamed for a crash, and quarantined once more, though the
// target declined it or it didn't reach the target.
func TestDeclinedTrialIsNoDeath(t *testing.T) {
	is := is.New(t)
	s, fp, clock := newQuarantined(is)
	clock.Advance(agent.SuspectExpiry)
	is.True(s.Begin(fp))
	agent.End(s, fp, mesh.Refused)
	is.True(s.IsOnTrial(fp))
	is.True(s.Begin(fp)) // at once
	agent.End(s, fp, mesh.Answered)
	is.True(!s.IsOnTrial(fp) && !s.Refuses(fp))
}
