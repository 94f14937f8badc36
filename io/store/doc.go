// Package store is the daemon's way to the platform's key-value service.
//
// Store is the narrow abstraction that the rest of the daemon uses: get,
// compare-and-swap, watch, and leases. It is a concrete type with function
// fields, so that a test substitutes any operation. The adapter in this
// package speaks the published etcd v3 API over gRPC.
//
// Every operation counts against the platform's rates, a pending watch as one,
// so Budgeted limits what a daemon may send, also after an outage.
//
// # Usage
//
//	item, err := st.Get(ctx, "config/doc")
//	if errors.Is(err, store.ErrNotFound) {
//		item = store.Item{}
//	} else if err != nil {
//		return err
//	}
//	rev, err := st.CompareAndSwap(ctx, "config/doc", item.Revision, value, 0)
package store
