// Package mirror keeps an agent's copy of the store's keys, and measures how old the knowledge
// in it is.
//
// A Mirror reads changes from the store or from another agent, as core/relay decides, and
// answers the queries of other agents from its copy (Serve). At the start it lists the names of
// the other agents, which may be stale, and all keys as soon as it can. The keys are read again
// when the store has dropped the changes since the copy's revision, or was restored.
//
// Long values are held and sent compressed, and only by the agents that are asked for them (the
// tellers of core/relay). At the others the copy says that a value is left out; they ask for it
// (Ask), or read it from the store and enter it (Hold).
//
// # Age
//
// A Freshness holds up to which time the state of the store is known and, as the agent reports
// each configuration that it has yet to read (Want) or has taken over (Applied), also the
// configuration in force. The rules are those of core/fresh. The Mirror reports to it what was
// read, after OnChange has returned. The age of the copy by which core/relay chooses sources is
// another one: it counts from the answers, on a clock that stands still while the
// machine is suspended.
//
// # Failures
//
// A failed call to the store, or a query without an answer, counts against its source in
// core/relay, which then chooses another one. Other agents are told that the store is lost (News.Lost), and how old the copy is. A
// value that Options.Accepts refuses leaves the one before in the copy. A damaged compressed value
// counts as left out, so it is read from the store. Nothing is kept on disk.
//
// # Usage
//
//	age := mirror.NewFreshness(5*time.Second, elapsed, scope)
//	m := mirror.New(mirror.Options{Store: st, Fresh: age, SendQuery: query, OnChange: apply})
//	go m.Run(ctx)
//	m.SetNodes(peers)
//	news := m.Serve(ctx, &mesh.Query{Revision: 7})
//	if !age.Now().IsRecent() {
//		return refuse()
//	}
package mirror
