// Package lease elects one daemon as the leader of each data centre.
//
// The leader owns the key dc/<name>/leader under a lease of the platform's
// key-value service (the store). Holder is the state machine of one daemon. It
// waits until the key is gone, for a delay that depends on its rank, then gets a
// lease, creates the key under that lease, and renews the lease each time a
// third of the lease time has passed.
//
// # Epoch
//
// The epoch of a leadership is the store revision at which its key was
// created; it is the fencing token of the leadership. A counter in the value of
// the key would start again, because the key is deleted when its lease ends. A
// counter in a second key cannot be raised atomically with the creation of the
// first one, because a compare-and-swap of the store covers one key. Store
// revisions only grow. A Holder gives up a leadership whose revision is not
// above the highest epoch that it knows, so that a store restored from an old
// backup does not give it an epoch twice. Each record carries the highest epoch
// that its writer knew.
//
// # Time
//
// A Holder counts the lease time from when it sent the grant or the renewal. The
// store starts its own count later than that. Holder stops a tenth of the lease
// time early, to allow for clocks that run at different rates. Once a Holder has
// stopped, a late answer does not make it leader again under the old epoch.
// MayAct only compares the time with the end of the lease, so it has to be
// called after each wake-up and before each action of the leader. A process that
// is paused between MayAct and its action acts late; therefore each action
// carries the epoch, and each receiver rejects lower epochs with a Fence.
//
// # Store calls
//
// A daemon that gets messages from its leader makes no store calls. A candidate
// reads the key before it asks for a lease. After a failed call it waits for a
// random time, whose limit doubles with each failure up to the lease time, so
// that a store that has recovered is not called by all candidates at once. If
// the answer to the creation is lost, the Holder reads the key back and compares
// the write id. If the key is not its own, it revokes the lease, so that a
// creation still in flight fails.
//
// # Usage
//
// A Holder makes no store calls itself and is not safe for concurrent use. Its
// caller holds a lock around each method, executes the actions, and reports each
// result once; an answer that does not come in time may be reported as Unknown
// or not at all. Op numbers are unique for one Holder only, so an answer has to
// go to the Holder that asked for the call.
//
//	h := lease.NewHolder(lease.Spec{
//		DataCentre: "muscat-a", ID: "rota-3", Address: "10.0.0.3:7000",
//		LeaseTime: 10 * time.Second, Rank: lease.Rank("muscat-a", members, "rota-3"),
//		Seed: seed,
//	})
//	for _, a := range h.Step(now, lease.Tick()) {
//		switch a.Kind() {
//		case lease.Swap:
//			rev, err := st.CompareAndSwap(ctx, a.Key(), 0, a.Value(), store.LeaseID(a.Lease()))
//			// later: h.Step(now, lease.SwapDone(a.Op(), status(err), rev))
//		}
//	}
//	if epoch, ok := h.MayAct(now); ok {
//		push(epoch)
//	}
package lease
