// Package stand has stand-ins for the systems around trefoilthread: the
// platform's key-value service and a user's target. They are used by tests,
// by the demo and by cmd/standin, and are no part of the product.
//
// Store serves the subset of the published etcd v3 API in io/etcdpb over gRPC:
// ranges, transactions with compares and one put or delete,
// watches with a start revision, and leases. It keeps everything in memory.
// A past revision cannot be read: Range answers it as compacted, which that
// API permits at any time.
//
// Target is an HTTP server with a settable number of slots and distribution of
// service times. It counts the runs of each idempotency key and request id, so
// that a test can prove that nothing ran twice.
//
// Both have faults that can be set at any time: outages, lost answers, slow
// answers, crashes, stalled or silent connections, bursts of errors.
//
// # Usage
//
//	st := stand.NewStore(stand.StoreOptions{})
//	if err := st.Start("127.0.0.1:0"); err != nil {
//		return err
//	}
//	defer st.Close()
//	st.LoseAnswers(1) // the next write takes effect, its answer is lost
//
//	tg := stand.NewTarget(stand.TargetOptions{Service: "bookings", Slots: 12})
//	if err := tg.Start("127.0.0.1:0"); err != nil {
//		return err
//	}
//	defer tg.Close()
//	...
//	if tg.Runs("deposit-17") > 1 {
//		t.Error("the deposit ran twice")
//	}
package stand
