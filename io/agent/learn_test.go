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

// records are the records of n agents as they come from the store.
func records(n int) []relay.Item {
	var items []relay.Item
	for i := range n {
		key, value := agent.Record(fmt.Sprintf("node-%d", i), learnServices[i%2])
		items = append(items, relay.Item{Key: key, Value: value, Revision: int64(i + 1)})
	}
	return items
}

// learn lets a new agent that calls two services learn the records.
func learn(items []relay.Item) {
	a := agent.New(agent.Options{
		Settings: agent.Settings{Node: "self", DataCentre: "kl", Mesh: "10.0.0.1:7000"},
		Log:      logs.Discard(), Clock: clockwork.NewFakeClock(), Scope: tally.NoopScope,
	})
	for _, name := range learnServices {
		agent.Use(a, name)
	}
	agent.TakeItems(a, items)
}

// allocated returns the bytes that f allocates.
func allocated(f func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

// Guards against agents that order all others anew for each record they learn: after
// a loss of power of 85 VMs that took each of them 6 ms of processor time, on VMs
// with a sixth of a processor, and 25 s with 5,200 agents. Allocated bytes stand for
// the work, as they don't depend on the machine: eight times the agents took 58
// times the bytes.
func TestLearningCostGrowsWithTheAgents(t *testing.T) {
	is := is.New(t)
	few, many := records(100), records(800)
	n, m := allocated(func() { learn(few) }), allocated(func() { learn(many) })
	t.Logf("%d bytes for 100 agents, %d for 800", n, m)
	is.True(m < 2*8*n)
}

// BenchmarkCapacityLearn gives the time in which an agent learns the records of
// all others, as after a loss of power of all VMs.
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
