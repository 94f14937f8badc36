// Package target is the daemon's side towards the one target beside it: it
// admits calls, passes them on by HTTP, notices when the target dies, and
// takes the target's announcements.
//
// All requests to the target go through Local.Do, so the admission decisions
// in core/admit always work with exact counts. Do returns an answer whose body
// is still to be read; the slot is free again when the body is closed.
//
// A call that Do refuses with outcome notRun was never handed to the HTTP
// client. Once it was handed over, a failure is reported as unknown, even if
// the target may not have seen the request.
//
// # Usage
//
//	local := target.New(target.Options{
//		Gate: admit.Options{Queue: 64}, Log: l,
//		Enter: enter, Leave: left, Died: died, Grant: grant, Waits: waits,
//	})
//	local.Announce(target.Announcement{Service: "bookings", Address: "127.0.0.1:8081", Slots: 12, Connections: 250})
//	ans, err := local.Do(ctx, head, body)
package target
