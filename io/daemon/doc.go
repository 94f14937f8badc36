// Package daemon assembles the one small process beside a target: entry for
// callers, gatekeeper of its target, and member of its data centre.
//
// A Daemon owns these tasks, each a goroutine of its own:
//
//	lead      drives core/lease: candidate or leader of the data centre
//	attend    announces the own target to the leader and hears the rest
//	publish   as leader: writes the summary, pushes documents, counts acknowledgements
//	observe   as leader: watches the store for summaries and configuration
//	watchdog  refuses late calls, notices a target that died, probes it
//	suspects  reports requests that crashed the target
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
