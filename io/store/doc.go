// Package store is the daemon's way to the platform's key-value service.
//
// Store is the narrow abstraction that the rest of the daemon uses: get,
// compare-and-swap, watch, and leases. It is a concrete type with function
// fields, so that a test substitutes any operation. Etcd is the adapter for
// the published etcd v3 API over gRPC.
//
// A write whose answer was lost is reported as ErrUnknown, never guessed. The
// adapter records when the transport begins to read the body of a request: an
// error before that point proves that nothing of it was sent, and another
// endpoint is tried; after it only a status that the API defines as a refusal
// proves that the write did not take effect. Resolve reads back what a write of
// unknown outcome left.
//
// Every operation counts against the platform's rates, a pending watch as one,
// so Budgeted limits what a daemon may send, also after an outage. Concurrent
// reads of a key share one call. A read never joins a call that has already
// started, because that call can miss a write that was complete when the read
// began.
//
// # Usage
//
//	etcd, err := store.NewEtcd([]string{"http://10.0.0.5:2379"}, store.EtcdOptions{})
//	if err != nil {
//		return err
//	}
//	defer etcd.Close()
//	st := store.Budgeted(etcd.Store(), store.NewBudget(store.BudgetOptions{}))
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
