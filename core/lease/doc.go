// Package lease decides when a daemon is the leader of its data centre.
//
// The leader holds the key dc/<name>/leader under a lease of the platform's
// key-value service (the store). Holder is the state machine of one daemon: it
// waits by rank for the key to disappear, asks for a lease, creates the key
// under that lease, and renews the lease at a third of its time.
//
// # Epoch
//
// The epoch of a leadership is the store revision at which its key was
// created. The key disappears with its lease, so a counter in its value would
// start again; a counter in a second key cannot be raised together with the
// creation of the first one, because the store swaps one key at a time. Store
// revisions only grow. Each record names the highest epoch that its writer
// knew, and a Holder refuses a leadership whose revision is not above it, so
// that a store restored from an old copy does not give an epoch twice.
//
// # Time
//
// A lease counts from when its grant or renewal was sent, because the store
// starts its own count later than that. Holder stops a tenth of the lease time
// earlier, for clocks that do not run at the same rate. Once a Holder has
// stopped, a late answer does not make it leader again under the old epoch.
// MayAct compares the time only; it has to be asked after each wake-up and
// before each action. A process that is paused between MayAct and its action
// acts late, so each action carries the epoch and each receiver has a Fence.
//
// # Store calls
//
// A daemon that hears its leader makes no calls. A candidate reads the key
// before it asks for a lease. After a failed call it waits for a random time
// that doubles up to the lease time, so that a store that comes back is not
// called by all candidates at once. A creation whose answer is lost is resolved
// by reading back the write id; if the key is not ours the lease is revoked, so
// that a creation still on its way fails.
//
// # Usage
//
// A Holder makes no calls itself. Its caller locks, executes the actions, and
// reports each result once; an answer that does not come in time may be
// reported as Unknown or not at all. The numbers of calls are the Holder's own:
// an answer belongs to the Holder that asked.
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
