package agent_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"trefoilthread/core/relay"
	"trefoilthread/core/types"
	"trefoilthread/io/agent"
	"trefoilthread/io/logs"
)

var learnServices = []types.ServiceName{"bookings", "schedules"}

// records returns the records of n agents as the store delivers them.
func records(n int) []relay.Item {
	var items []relay.Item
	for i := range n {
		key, value := encodedRecord(fmt.Sprintf("node-%d", i), learnServices[i%2])
		items = append(items, relay.Item{Key: key, Value: value, Revision: int64(i + 1)})
	}
	return items
}

// learn passes the records to a new agent that calls two services.
func learn(items []relay.Item) {
	a := agent.New(agent.Options{
		Settings: agent.Settings{Node: "self", DataCentre: "kl", Mesh: "10.0.0.1:7000"},
		Log:      logs.Discard(), Clock: clockwork.NewFakeClock(), Scope: tally.NoopScope,
	})
	for _, name := range learnServices {
		agent.CountRequest(a, name)
	}
	agent.ApplyItems(a, items)
}

// allocated returns the bytes that f allocates.
func allocated(f func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

// Guards against an agent that rebuilds the order of all agents for each record it
// learns. After a power loss of 85 VMs that took each agent 6 ms of processor time, on
// VMs with a sixth of a processor, and 25 s with 5,200 agents. Allocated bytes stand for
// the work, as they do not depend on the machine: with the fault, eight times the agents
// allocated 58 times the bytes.
func TestLearningCostGrowsWithTheAgents(t *testing.T) {
	is := is.New(t)
	few, many := records(100), records(800)
	n, m := allocated(func() { learn(few) }), allocated(func() { learn(many) })
	t.Logf("%d bytes for 100 agents, %d for 800", n, m)
	is.True(m < 2*8*n)
}

// BenchmarkCapacityLearn measures how long an agent takes to learn the records of all
// others, as after a power loss of all VMs.
func BenchmarkCapacityLearn(b *testing.B) {
	for _, n := range []int{85, 150, 1000, 5200} {
		b.Run(fmt.Sprintf("agents=%d", n), func(b *testing.B) {
			items := records(n)
			for b.Loop() {
				learn(items)
			}
		})
	}
}
