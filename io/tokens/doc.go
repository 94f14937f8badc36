// Package tokens takes tokens of customers' quotas for the requests of one agent, and grants
// tokens of the quotas that this agent owns.
//
// A request of a customer with a quota is dispatched only with a token (Take). If the agent has
// none, it asks the owners of the customer's quota in turn: itself without a message, another
// agent by Options.Ask. Requests that come meanwhile wait for the same answers. The token of a
// request that no target got is put back (Return). The decisions are those of core/quota; this
// package holds their state, sends and waits.
//
// # What it has to be told
//
//	SetRecord, RemoveRecord  which agents have records in the store, and therefore own quotas
//	SetRestart               whether this agent may grant right after its start
//	Options.Table            the configuration, whose quotas are in force
//	Options.Age              how old the knowledge of the store is; with an old one no token
//	                         is granted
//
// Nothing is written to the store, and nothing is kept on disk.
//
// # Failures
//
// An owner that doesn't answer within quota.AnswerTime isn't asked for a while, and the next one
// is. A request that gets no token ends with Over only if an owner has said that the quota is
// used up, else with NoOwner: the caller is told to come again in both cases, but only the first
// is its customer's doing.
//
// # Usage
//
//	q := tokens.New(tokens.Options{Self: "vm-1", DataCentre: "kl", Ask: ask, Age: age, Table: table})
//	go q.Run(ctx)
//	q.SetRecord("vm-2", "kl")
//	v := q.Take(ctx, customer)
//	if v.Result() != tokens.Within {
//		return refuse(v.Result())
//	}
//	if !dispatch(request) {
//		q.Return(v)
//	}
package tokens
