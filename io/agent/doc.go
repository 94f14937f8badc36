// Package agent is the daemon beside a target for deployments in which callers
// run on the VM of a target and the operator writes the configuration into the
// platform's store.
//
// A request goes from a caller to the agent of its VM (entry), which chooses a
// target, to the agent beside that target (serve), which admits it, and to the
// target itself. The decisions are those of core: vhost (which service), route (which target),
// retry (whether to send again), admit (whether to run now), roster and beat (which agents and
// targets exist), cold (whether the target is cold and how many calls it takes then), drain
// (which data centres are drained), link (when the bodies of offered calls may come), pause
// (when the target gets no calls after responses that were too long), pace and probe (how fast
// the target's host is). Package mirror applies those of relay (from which agent or store to
// read changes) and fresh (whether the configuration is known well enough for requests with
// API keys), package tokens those of quota (which requests are within their customer's quota),
// package enrol those of prune (which agents are gone), package crash those of poison (which
// requests crash targets).
//
// # State and its owners
//
//	mirror.Mirror       copy of the store's keys, read from the store or from another agent
//	activeTable         configuration in force, decoded from the operator's document in the store
//	mirror.Freshness    up to which time the store and the configuration in force are known
//	balancer            other agents, their targets, drained data centres, statistics of this
//	                    agent's calls, retry budgets and hedging limits
//	localTarget         the target on this VM, its admission gate, its connections, its cold time,
//	                    its pauses, and the offered calls whose bodies wait for the link
//	enrol.Registration  this agent's record in the store
//	enrol.Cleaner       which other agents are gone, so that their records are deleted
//	crash.Suspects      requests that were running when a target crashed
//	tokens.Quotas       tokens of customers' quotas, and the parts of quotas that this agent owns
//
// None of it is kept on disk. A restarted agent reads it again from the store, from
// the target's next announcement, and from the answers of other agents.
//
// An explainer holds no state: it tells operators where a request would go (ExplainPath).
//
// # Platform
//
// The package does not depend on the names of headers, paths, keys and documents
// of the platform: Wire holds the functions that convert them.
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
