// Package quota decides whether requests of customers are within their quotas over all
// daemons.
//
// The quota of a customer is split into n equal parts, two for each data centre, or one for
// small quotas. In each data centre, the daemons with the highest rendezvous hashes of the
// daemon and the customer own them, among those with records in the store (Directory). An
// owner keeps a token bucket of rate PerSecond/n and size (Burst+10)/n for each part, which
// starts empty (Owner).
// Any daemon that has a request of the customer asks the owners in turn, those of its own data
// centre first (Asker). Unused parts therefore go where the demand is, and a failed owner
// costs at most its parts. An owner that didn't answer within AnswerTime isn't asked for half
// a second, for any customer (Silent). Asker.MayServe and Asker.IsUsedUp tell what a request
// would get without taking a token or asking an owner.
//
// # Bound
//
// In any window of 5 s, (PerSecond*5 + Burst)*1.1 + 20 requests may run. A bucket grants
// at most rate*T + size in any time T, so the owners of a customer together grant at most
// PerSecond*T + Burst + 10. A token is valid for Lifetime from the time at which it was asked
// for, so the tokens that are used within 5 s are granted within T = 5.25 s. What is left is
// PerSecond*0.25 + Burst*0.1 + 10, for the time that requests wait at gates. The size of a
// bucket must not be below one token, which would never be whole: hence MaxOwners = 10. The
// rate may be any fraction, as buckets hold fractions of tokens and grant whole ones.
//
// # One owner at a time
//
// An owner grants only while its knowledge of the store is younger than MaxAge (5 s). A
// daemon that becomes the owner grants nothing for takeoverTime (5.5 s): by then the earlier
// owner either knows of the change or has no recent knowledge.
//
// A daemon that starts and has had a record in the store for SettleTime needs no takeoverTime:
// its earlier starts grant no more, another owner that was there before its record has heard
// of it or has no recent knowledge, and one whose record was deleted since is treated below.
//
// Knowledge that was older than MaxAge for a moment may hide another owner in between. That
// owner has waited for takeoverTime itself, and its record was deleted since, which takes
// 16 s if it hasn't stopped by itself. So after a gap of at most maxGap (15 s) an owner
// continues, and after a longer one it waits for takeoverTime.
//
// # Lost and late messages
//
// Tokens in a lost answer are lost. Tokens of a doubled request are dropped with the second
// answer. A late answer is used until the tokens expire, if at all. None of them adds
// tokens.
//
// # Usage
//
//	d := quota.NewDirectory(centres)
//	d.Set("vm-1", "kl")
//	o := quota.NewOwner("vm-1", "kl", d)
//	o.SetLimits(now, limits)
//	o.Observe(now, now, age)          // several times a second
//	g := o.Grant(now, "acme", 2)      // for another daemon
//
//	a := quota.NewAsker()
//	a.Note(now)
//	if tok, ok := a.Take(now); ok {
//		// dispatch the request
//	}
//	node, ok := a.Next(now, d.Owners("acme", "kl"), silent)
//	a.Granted(now, sent, node, g)
//
// The types aren't safe for concurrent use.
package quota
