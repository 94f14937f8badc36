// Package prune decides which agents are gone for good, so that their records are
// deleted from the store.
//
// Records have no lease, as its renewals and the writes after an outage that ends all
// leases would cost more calls than all else. An agent that is alive asks one of the
// agents that read the store for news several times a second. Each of those watches the
// agents that ask it: after Silence without contact it probes them, and after several
// failed probes in a row the record may be deleted. An agent that was only cut off
// writes its record again.
//
// An agent is probably cut off itself if those it hears from, with itself, are less than
// half of those it watches, with itself. It deletes nothing then.
//
// # Usage
//
//	t := prune.New()
//	for _, name := range t.Due(now, contacts) {
//		if probe(name) != nil && t.Failed(name) {
//			// delete the record of name
//		}
//	}
package prune
