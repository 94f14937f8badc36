// Package agent is the daemon beside a target for deployments in which callers
// sit on the target's VM and the operator writes the configuration into the
// platform's store.
//
// A request goes from a caller to the agent of its VM (entry), which chooses a
// target, to the agent beside that target (serve), which admits it, and to the
// target itself. The decisions are those of core: vhost (which service), route
// (which target), retry (whether to send again), admit (whether to run now),
// roster and beat (who is there), relay (where to learn what the store holds),
// pace and probe (how fast the target's host is).
//
// # State and its owners
//
//	mirror    copy of the store's keys, from the store or from another agent
//	tables    configuration in force; the store's document is the source
//	places    other agents, their targets, statistics of own calls
//	own       the target on this VM, its gate and its connections
//	register  this agent's record in the store and its lease
//
// All of it is lost with the process and is learned again from the store, from
// the target's next announcement, and from other agents' answers.
//
// # What the package doesn't know
//
// Names of headers, paths, keys and documents of the platform. Wire holds the
// functions that translate them.
//
// # Usage
//
//	a := agent.New(agent.Options{Settings: set, Wire: wire, Store: st, Log: l, Clock: clock})
//	if err := a.Start(); err != nil {
//		return err
//	}
//	<-signals
//	a.Stop()
package agent
