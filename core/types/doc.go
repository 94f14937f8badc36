// Package types defines the value types that the other packages of
// trefoilthread share: names, the class and the identity of a call, its outcome,
// a target, and a target's load report.
//
// It imports no other package of the project and keeps no state, so that the
// algorithms in core and the transports in io can exchange values without
// depending on each other. Values that cross the network have structs of their
// own in io/wire; nothing here is encoded directly.
//
// # Usage
//
//	class := types.NewClass(true, types.Idempotent)
//	call, err := types.NewCall(types.CallSpec{
//		ID: "4f0c", Service: "bookings", Method: "GET", Path: "/menu",
//		Class: class, Deadline: now.Add(80 * time.Millisecond), Worth: 1, TriesLeft: 3,
//	})
package types
