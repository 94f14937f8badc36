// Package types holds the small plain values that every other package of
// trefoilthread builds on: names, the class of a call, a call's identity,
// its result, and a target's load report.
//
// It imports nothing of the project and keeps no state, so that decisions in
// core and transports in io share one vocabulary without depending on each
// other. Values that cross the network have their own structs in io/wire;
// nothing here is encoded directly.
//
// # Usage
//
//	class := types.NewClass(true, types.Idempotent)
//	call, err := types.NewCall(types.CallSpec{
//		ID: "4f0c", Service: "bookings", Method: "GET", Path: "/menu",
//		Class: class, Deadline: now.Add(80 * time.Millisecond), Worth: 1, Tries: 3,
//	})
package types
