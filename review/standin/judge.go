package main

import (
	"fmt"
	"slices"
	"time"
)

// judgeCut judges LOST after a SIGTERM: requests that were passed on to a target, which was
// at work on them, and that ended with a closed connection or an answer of the daemon's own.
func (w *world) judgeCut(answers map[string]answer, term time.Duration) verdict {
	lost, own := 0, 0
	for id, a := range answers {
		if a.signed {
			continue
		}
		for _, n := range w.nodes {
			for _, x := range n.target.arrivals(id) {
				if !x.ran || x.ended > 0 && x.ended < a.got {
					continue
				}
				own++
				if term > 0 && a.got > term && a.sent < term+graceTime+time.Second {
					lost++
					w.rec.note("LOST: %s, sent at %.3f, ended at %.3f with %d (%v) while target %s was at work from %.3f to %.3f",
						id, a.sent.Seconds(), a.got.Seconds(), a.status, a.err, x.target, x.at.Seconds(), x.ended.Seconds())
				}
			}
		}
	}
	return verdict{lost > 0, fmt.Sprintf("%d of %d deposits broken off while their target was at work, %d of them after the SIGTERM", own, len(answers), lost)}
}

func sortTimes(list []time.Duration) { slices.Sort(list) }
