package poison

import "time"

const (
	// maxDoublings bounds a quarantine at 32 times the expiry. A harmless request that is
	// blamed again while on trial must get a further trial.
	maxDoublings = 5
	// refusalFactor times its length is how long a quarantine lasts at most while its request is
	// sent all the time. Without the bound a harmless one would never get its trial.
	refusalFactor = 4
	// memoryFactor times the expiry is how long a request that was quarantined runs only
	// on trial: as long as the longest quarantine without refusals.
	memoryFactor = 1 << maxDoublings
)

// suspicion is what a sequence of deaths tells about a request.
type suspicion struct {
	deaths    int
	doublings int
	until     time.Time // end of the quarantine, or of the suspicion after one death
}

// suspicionBy returns what deaths tell, the earliest first. A record that is
// full has lost earlier ones, so its first one is not that of an unknown
// request.
func suspicionBy(deaths []death, expiry time.Duration) suspicion {
	var s suspicion
	if len(deaths) >= maxDeaths {
		s = suspicion{deaths: int(Quarantined), until: deaths[0].at}
	}
	for _, d := range deaths {
		s.add(d.at, expiry)
	}
	return s
}

// add counts a death, not earlier than the ones before.
func (s *suspicion) add(at time.Time, expiry time.Duration) {
	if !at.Before(s.end(expiry)) {
		*s = suspicion{}
	}
	s.deaths++
	if s.deaths > int(Quarantined) && !at.Before(s.until) {
		s.doublings = min(s.doublings+1, maxDoublings)
	}
	if until := at.Add(expiry << s.doublings); until.After(s.until) {
		s.until = until
	}
}

// end returns when the deaths no longer count. It doesn't depend on refusals, of which
// other daemons know nothing.
func (s *suspicion) end(expiry time.Duration) time.Time {
	if s.deaths < int(Quarantined) {
		return s.until
	}
	return s.latestRelease(expiry).Add(memoryFactor * expiry)
}

// release returns when a quarantine ends whose request was last refused at the given time:
// when the request hasn't come for the length of the quarantine, at most refusalFactor times
// the length after the latest death.
func (s *suspicion) release(refused time.Time, expiry time.Duration) time.Time {
	length := expiry << s.doublings
	latest := s.latestRelease(expiry)
	switch at := refused.Add(length); {
	case at.Before(s.until): // refused before the latest death
		return s.until
	case at.After(latest):
		return latest
	default:
		return at
	}
}

// latestRelease returns the end of a quarantine whose request comes all the time.
func (s *suspicion) latestRelease(expiry time.Duration) time.Time {
	return s.until.Add((refusalFactor - 1) * expiry << s.doublings)
}

// status returns how a request may run that was last refused at the given time.
func (s *suspicion) status(now, refused time.Time, expiry time.Duration) Status {
	switch {
	case s.deaths == 0 || !now.Before(s.end(expiry)):
		return Clear
	case s.deaths >= int(Quarantined) && now.Before(s.release(refused, expiry)):
		return Quarantined
	}
	return Suspect
}
