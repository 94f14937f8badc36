package agent_test

import (
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"trefoilthread/core/beat"
	"trefoilthread/core/types"
	"trefoilthread/io/agent"
	"trefoilthread/io/logs"
)

// Guards against a correction of an agent's record that loses values of it, such as the
// speed of its link, by which all agents choose the same readers.
func TestCorrectionTellsAllOfTheRecord(t *testing.T) {
	is := is.New(t)
	ann := beat.Announcement{ID: "t-1", Service: "bookings", Slots: 9, Born: 7}
	node := func(name string) *agent.Agent {
		return agent.New(agent.Options{
			Settings: agent.Settings{Node: name, DataCentre: "kl", Mesh: "10.0.0.1:7000", Link: 200},
			Log:      logs.Discard(), Clock: clockwork.NewFakeClock(), Scope: tally.NoopScope,
		})
	}
	got := agent.RecordsAfterPresence(node("a"), agent.Presence(node("b"), ann))
	is.Equal(len(got), 1)
	rec := got[0]
	is.Equal(rec.Node, "b")
	is.Equal(rec.Address, "10.0.0.1:7000")
	is.Equal(rec.DataCentre, types.DataCentre("kl"))
	is.Equal(rec.Link, 200.0)
	is.Equal(rec.Target.ID, ann.ID)
	is.Equal(rec.Target.Service, ann.Service)
	is.Equal(rec.Target.Slots, 9)
	is.Equal(rec.Target.Born, uint64(7))
}
