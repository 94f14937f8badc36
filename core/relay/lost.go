package relay

import "time"

// maxLost is the number of daemons that may be left out because they have lost the store.
// If more have, it is away for all.
const maxLost = 4

// LostStore notes that a daemon has answered that it has lost the store. It is left out of
// the order for a while, so that the next one moves up.
func (s *Sources) LostStore(now time.Time, from Source) {
	if n := s.node(from.Node); n != nil {
		n.lost = now.Add(lostTime)
	}
}

// IsStoreLost reports whether this daemon's latest call to the store failed, not long ago.
func (s *Sources) IsStoreLost(now time.Time) bool {
	return s.failures > 0 && now.Before(s.storeDue.Add(maxStorePause))
}

// IsOutage reports whether the store seems to be away for all daemons: this one and others
// have lost it. Then none is left out for that, and a query waits also at a daemon that
// has lost the store.
func (s *Sources) IsOutage(now time.Time) bool {
	if s.IsStoreLost(now) {
		return true
	}
	lost := 0
	for _, n := range s.nodes {
		if now.Before(n.lost) {
			lost++
		}
	}
	return lost > maxLost
}
