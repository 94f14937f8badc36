// Package daemon assembles the one small process beside a target: entry for
// callers, gatekeeper of its target, and member of its data centre.
//
// A Daemon owns these tasks, each a goroutine of its own:
//
//	lead            drives core/lease: candidate or leader of the data centre
//	attend          announces the own target to the leader, in joins and heartbeats
//	fetchDocuments  gets newer configuration documents from daemons that have them
//	watchdog        refuses late calls and closes stalled connections
//	checkAlive      notices a target that died while it was idle
//	followStatus    asks the leader for versions in force while operators wait
//	renewIdentity   takes over renewed certificates
//	reportGauges    copies the state to the metrics
//	keeper          one for each partition of keys that this daemon has kept
//
// and while it leads its data centre:
//
//	publish         keeps the member table, writes its summary and the version in force
//	push            tells members and other leaders what they lack
//	watchCentres    follows leaders, summaries and versions in force in the store
//	watchConfig     follows the configuration document in the store
//
// Requests of callers and of other daemons have goroutines of their own, from
// net/http and quic-go.
//
// Stop is graceful: the target's gate drains, peers are told, running calls
// finish within the bound, then the sockets close.
//
// # Usage
//
//	d, err := daemon.New(daemon.Options{Settings: s, Identity: id, Store: st, Log: l})
//	if err != nil {
//		return err
//	}
//	if err := d.Start(); err != nil {
//		return err
//	}
//	<-ctx.Done()
//	return d.Stop(stopCtx)
package daemon
