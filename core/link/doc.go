// Package link decides when the bodies of calls are sent over the network link of a VM.
//
// A link of 11 Mbit/s needs 44 ms for a body of 60 kB. If several daemons send such bodies to
// one VM at a time, every short call to it waits behind all of them, and bodies of calls that
// are refused afterwards waste the link. A call with such a body is therefore offered first,
// without it. The daemon beside the target grants offers one after the other, and the body is
// sent after the grant.
//
// # Offers
//
// IsLong tells whether a call is offered: if its body takes longer than LongTime on the
// slower of the two links. A body on fast links is sent with its call.
//
// An offer is granted if the gate of the target has a place for the call at the time at
// which its body will have come, and the link has room: the bodies under way, this one
// included, take at most MaxTransit of the link's time. The next body is also granted if
// those under way take at most Lead, so that at least one is always under way and the link
// isn't idle while a grant travels. A grant has a start: the time that the bodies under way
// still take. Its sender begins after that, so that bodies don't meet on the link.
//
// Offers wait in the order of the gate: the higher value first, then the earlier deadline. The
// gate is asked about each of them with the time at which its body could be complete, behind
// those ahead of it. One that it refuses then is refused at once.
//
// # Bodies that don't come
//
// A body of which nothing came for Quiet no longer takes the link's time: its sender may be
// gone, and the others would wait for nothing. Its transfer goes on if more of it comes. The
// caller of this package ends a transfer of which nothing came for UnusedTime.
//
// # Pacing
//
// A Pacer tells a sender when the next part of a body may be written, so that the queues of
// the kernel and of the link hold little, and a short message that comes meanwhile waits for
// one part at most.
//
// # Concurrency
//
// No type is safe for concurrent use.
//
// # Usage
//
//	l := link.New(link.Options{Mbit: 11})
//	id := l.Add(link.Offer{Call: call, Bytes: 60_000, Value: gate.Value(now, call)})
//	for _, ev := range l.Decide(now, gate) {
//		// Tell the sender of the call: send the body after ev.Start, or that it is refused.
//	}
//	l.Progress(now, id, 8192) // a part has come
//	l.End(id)
//	gate.Unexpect() // the body is complete, or won't come: gate.Arrive follows
package link
