package agent_test

import (
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

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
		is.True(!s.IsQuarantined(crash))
		s.Begin(crash)
		s.Begin(calm)
		agent.End(s, crash, mesh.Broken)
		agent.End(s, calm, mesh.Broken)
		s.TargetDied()
		s.Begin(calm)
		agent.End(s, calm, mesh.Answered)
	}
	for _, s := range []*agent.Suspects{a, b} {
		is.True(s.IsQuarantined(crash))
		is.True(!s.IsQuarantined(calm))
	}
	clock.Advance(2 * agent.SuspectExpiry)
	is.True(!a.IsQuarantined(crash))
}
