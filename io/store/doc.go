// Package store is the daemon's way to the platform's key-value service.
//
// Store is the narrow abstraction that the rest of the daemon uses: get,
// compare-and-swap, watch, and leases. It is a concrete type with function
// fields, so that a test substitutes any operation. Adapters are packages of
// their own, so that a program links only those that it uses.
//
// A write whose answer was lost is reported as ErrUnknown, never guessed.
// Resolve reads back what a write of unknown outcome left.
//
// Every operation counts against the platform's rates, a pending watch as one,
// so Budgeted limits what a daemon may send, also after an outage. Concurrent
// reads of a key share one call. A read never joins a call that has already
// started, because that call can miss a write that was complete when the read
// began.
//
// # Usage
//
//	cl, err := etcd.New([]string{"http://10.0.0.5:2379"}, etcd.Options{})
//	if err != nil {
//		return err
//	}
//	defer cl.Close()
//	st := store.Budgeted(cl.Store(), store.NewBudget(store.BudgetOptions{}))
//
//	item, err := st.Get(ctx, "config/doc")
//	if errors.Is(err, store.ErrNotFound) {
//		item = store.Item{}
//	} else if err != nil {
//		return err
//	}
//	rev, err := st.CompareAndSwap(ctx, "config/doc", item.Revision, value, 0)
//	if errors.Is(err, store.ErrUnknown) {
//		item, ours, err := store.Resolve(ctx, st, "config/doc", hasWriteID)
//		...
//	}
package store
