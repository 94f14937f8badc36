package relay

import "time"

// askersPerTeller is the number of daemons for each teller. Twenty compressed
// configurations of 40 KB take 32 ms on a link of 200 Mbit/s.
const askersPerTeller = 20

// tellers returns how many daemons read values that are too long for TellLimit from the
// store and tell them to the others. If all daemons read them, as after a power loss of all
// VMs, the link of the store is busy for a second with 300 of them.
func (s *Sources) tellers() int {
	return max(s.opts.Readers, (len(s.nodes)+askersPerTeller-1)/askersPerTeller)
}

// IsTeller reports whether this daemon tells others long values: it is one of the first
// ones of the order that aren't left out.
func (s *Sources) IsTeller(now time.Time) bool { return s.isAmong(now, s.tellers()) }

// Teller returns the daemon to ask for a long value, "" if this one is to read it from the
// store.
func (s *Sources) Teller(now time.Time) string {
	if s.IsTeller(now) {
		return ""
	}
	return s.OtherTeller(now)
}

// OtherTeller returns another daemon that tells long values, "" if there is none.
func (s *Sources) OtherTeller(now time.Time) string {
	isOutage := s.IsOutage(now)
	return s.choose(s.opts.Self, s.tellers(), func(n node) bool { return n.isOut(now, isOutage) })
}
