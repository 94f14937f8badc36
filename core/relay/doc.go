// Package relay decides from where a daemon learns what the store holds, and
// keeps its copy of it.
//
// The load it answers: each change in the store wakes all calls that wait for
// changes, so with one waiting call for each daemon a wave of changes costs the
// square of their number, and the store's calls are limited and priced. Here a
// few daemons, the readers, wait at the store. The others wait at a reader,
// which holds a copy with the store's revisions and answers with what is newer
// than what the asker has.
//
// # Who reads
//
// All daemons order the known ones by the speed of their links, and by a hash of
// their names where that is the same. The first ones are the readers. A daemon
// that can't be reached is left out of the order for a while, so the next one
// moves up. So is one that answers that it has lost the store, which may turn away
// some daemons and serve the others. If this daemon has lost the store as well, it
// is away for all, and the order stays as it is.
//
// A daemon whose copy has become too old reads by itself, whatever its place: then
// the readers can't reach the store, or this daemon can't reach the readers. Each
// answer tells how old its information is, so a reader that was cut off from the
// store is noticed, and may itself learn from others.
//
// # Starts
//
// A daemon that starts takes the names of the others from a listing that may be
// old, which costs little, and then asks the readers. It reads by itself only if
// they have given nothing for a while.
//
// # Long values
//
// A configuration of a thousand routes takes a link of 10 Mbit/s a third of a
// second, and a read each. Readers tell it compressed, as long as that keeps
// their links busy for a short time only. Longer ones are read from the store by the
// tellers, the first ones of the order, one daemon in twenty. The others ask a teller, and
// read the store only if it doesn't have the value in time: if all of 300 daemons read it
// together, the store's own link is busy for a second.
//
// # Usage
//
//	s := relay.NewSources(relay.Options{Self: "a"})
//	s.SetNodes(peers)
//	again := s.Introduced(now)
//	switch next := s.Next(now); {
//	case next.Store:
//		// Wait at the store for changes after c.Revision().
//	case next.Node != "":
//		// Ask that daemon.
//	default:
//		// Nothing to ask for next.Wait.
//	}
//	pause := s.Learned(now, next, age, len(items)) // or s.Failed(now, next)
//	// If the answer says that its daemon has lost the store:
//	s.LostStore(now, next)
//	changed := c.Apply(items, revision)
//
// The package has no clock and no goroutines; neither type is safe for
// concurrent use.
package relay
