// Package admin serves the operators' remote procedure calls: the service Ops
// of proto/ops/ops.proto, over Connect, gRPC and gRPC-Web, and with curl as a
// POST of JSON.
//
// A change is a loop: read the document from the store, config.Apply, write it
// back with compare-and-swap. When another operator was faster, the loop reads
// and applies again; config.Apply tells whether the changes exclude each
// other. When the answer of the store is lost, the loop reads back too: the
// request id in the document tells whether the write took effect. The loop is
// bounded. What it cannot settle it reports as Unavailable, and the operator
// sends the same change with the same request id again.
//
// After the write the call waits until every data centre with live members has
// the version in force, at most AcceptTimeout, and returns "accepted", or
// "committed" with the data centres that lack it.
//
// Reads go to the store, which must answer them with the latest write, so that
// an operator sees a change made through another daemon. Status does not: it
// works during an outage of the store.
//
// # Authentication
//
// Every call carries "Authorization: Bearer <token>". Options hold the SHA-256
// of the tokens, never the tokens. All hashes are compared in constant time.
// Unauthenticated calls are logged but not written to the audit record, so
// that strangers cannot use up the store's call budget. The token is sent as
// it is: serve the handler on the VM's loopback address, as the daemon does, or
// over TLS.
//
// # Errors
//
//	InvalidArgument    invalid values, all of them, one line each
//	Aborted            the service has another version than base_version
//	NotFound           no such service or target
//	AlreadyExists      the request id names another change
//	ResourceExhausted  the document would exceed the store's limit
//	Unauthenticated    no or unknown token
//	Unavailable        the store cannot be reached, or the change is undecided
//
// # Usage
//
//	path, handler := admin.NewHandler(admin.Options{
//		Store: st, Clock: clockwork.NewRealClock(), Log: log.Log,
//		Document: current.Document, Status: status, StatusChanged: changed,
//		Targets: targets, Drain: drain, Quarantine: list, Lift: lift,
//		TokenHash: settings.TokenHash,
//	})
//	mux.Handle(path, handler)
//
//	curl -H "Authorization: Bearer $TOKEN" -H "Content-Type: application/json" \
//		-d '{"name":"bookings"}' https://host:7100/trefoilthread.ops.Ops/GetService
package admin
