package relay

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// defaultReaders bounds the calls that wait at the store. With two, half of
	// the others are served without a gap when one is lost.
	defaultReaders = 2
	// defaultMaxAge is the age of a copy at which its daemon reads by itself. A
	// configuration has to be in force within two seconds, and the copy of a
	// daemon that is cut off from the readers gets no younger meanwhile.
	defaultMaxAge = 1500 * time.Millisecond
	// tellTime bounds the time for which telling all askers a value may occupy
	// a reader's link, which also carries requests.
	tellTime = 100 * time.Millisecond
	// unknownTold and minTold are bounds of a value in bytes where the link isn't
	// known, and in any case.
	unknownTold = 64 << 10
	minTold     = 4 << 10
	maxTold     = 1 << 20
	// unreachedTime is how long a daemon that wasn't reached is left out.
	unreachedTime = 3 * time.Second
	// oldTime is how long a daemon isn't asked again whose copy was too old.
	oldTime = time.Second
	// lostTime is how long a daemon is left out that has lost the store itself.
	lostTime = 3 * time.Second
	// readGap and askGap let changes in quick succession share a call to the store
	// or a query.
	readGap = 200 * time.Millisecond
	askGap  = 50 * time.Millisecond
	// startGap is the readGap in the first startTime of a daemon, when all may
	// have started together, know few others to ask, and see a wave of records.
	startGap  = 500 * time.Millisecond
	startTime = 3 * time.Second
	// firstGap takes its place when no other daemon was listed, as at the first
	// start of the system: the records of all come within about two seconds.
	firstGap = 1200 * time.Millisecond
	// introTime is how long a daemon that has just started asks the readers before
	// it reads by itself. They may be starting too.
	introTime = 600 * time.Millisecond
	// minStorePause is the pause of a reader after a call to the store that
	// failed, which doubles up to readerStorePause: readers have to note the
	// store's return soon. The others learn it from them. They call because the
	// store may turn away readers only, which one call shows, and would else only
	// add calls: their pause is askerStorePause and doubles up to maxStorePause.
	minStorePause    = 250 * time.Millisecond
	readerStorePause = 500 * time.Millisecond
	askerStorePause  = 2 * time.Second
	maxStorePause    = 5 * time.Second
	maxDoublings     = 5
)

// Options configure Sources.
type Options struct {
	Self    string        // name of this daemon
	Link    float64       // of this daemon's VM, Mbit/s, 0 if unknown
	Readers int           // default 2
	MaxAge  time.Duration // default 1.5 s
}

// Peer is another daemon.
type Peer struct {
	Name string
	Link float64 // of its VM, Mbit/s, 0 if unknown
}

// Source is where to learn next: the store, a daemon, or neither for Wait.
type Source struct {
	Store bool
	Node  string
	Wait  time.Duration
}

// Sources chooses the next source.
type Sources struct {
	opts  Options
	nodes []node // all known daemons and this one, in order

	freshAt  time.Time // the copy is known to have been current then
	askUntil time.Time // the readers are asked before, however old the copy is
	began    time.Time // the other daemons were first listed
	isFirst  bool      // there were none then
	failures int       // calls to the store that failed in a row
	storeDue time.Time
}

// node is a daemon in the order of all.
type node struct {
	name     string
	link     float64   // Mbit/s
	weight   uint64    // place among those with the same link
	affinity uint64    // with this daemon; the readers are chosen from by it
	absent   time.Time // not reached, left out until then
	old      time.Time // its copy was too old, not asked until then
	lost     time.Time // it had lost the store, left out until then
}

// NewSources returns Sources that know no other daemon.
func NewSources(o Options) *Sources {
	o.Readers = cmp.Or(o.Readers, defaultReaders)
	o.MaxAge = cmp.Or(o.MaxAge, defaultMaxAge)
	s := &Sources{opts: o}
	s.SetNodes(nil)
	return s
}

// SetNodes sets the other daemons.
func (s *Sources) SetNodes(peers []Peer) {
	before := make(map[string]node, len(s.nodes))
	for _, n := range s.nodes {
		before[n.name] = n
	}
	s.nodes = s.nodes[:0]
	for _, p := range append(slices.Clone(peers), Peer{Name: s.opts.Self, Link: s.opts.Link}) {
		n, ok := before[p.Name]
		if !ok {
			n = node{
				name: p.Name, weight: xxhash.Sum64String(p.Name),
				affinity: affinity(s.opts.Self, p.Name),
			}
		}
		n.link = p.Link
		s.nodes = append(s.nodes, n)
	}
	slices.SortFunc(s.nodes, func(a, b node) int {
		return cmp.Or(cmp.Compare(b.link, a.link), cmp.Compare(a.weight, b.weight), cmp.Compare(a.name, b.name))
	})
	s.nodes = slices.CompactFunc(s.nodes, func(a, b node) bool { return a.name == b.name })
}

// TellLimit returns the length in bytes of the longest value that this daemon
// tells those that ask it. The others read longer ones from the store.
func (s *Sources) TellLimit() int {
	if s.opts.Link <= 0 {
		return unknownTold
	}
	askers := float64(len(s.nodes)) / float64(s.opts.Readers)
	limit := s.opts.Link * bytesPerMbit * tellTime.Seconds() / askers
	return int(min(max(limit, minTold), maxTold))
}

// bytesPerMbit converts the unit of links.
const bytesPerMbit = 1e6 / 8

// Len returns the number of known daemons, this one included.
func (s *Sources) Len() int { return len(s.nodes) }

// IsAlone reports whether no other daemon is known.
func (s *Sources) IsAlone() bool { return len(s.nodes) == 1 }

// Introduced notes that the other daemons were learned from a listing that may
// be old, at the start of this one. It returns the time after which to list
// again, 0 if some were found.
func (s *Sources) Introduced(now time.Time) time.Duration {
	s.askUntil = now.Add(introTime)
	if !s.began.IsZero() {
		return 0
	}
	s.began, s.isFirst = now, s.IsAlone()
	if s.isFirst {
		return firstGap
	}
	return 0
}

// Learned notes that the copy has all that the store held before age, and
// returns the pause until the next step, by the number of items that came.
func (s *Sources) Learned(now time.Time, from Source, age time.Duration, items int) time.Duration {
	if at := now.Add(-age); at.After(s.freshAt) {
		s.freshAt = at
	}
	if from.Store {
		s.failures, s.storeDue = 0, now
	}
	if n := s.node(from.Node); n != nil {
		n.absent = time.Time{}
		if age > s.opts.MaxAge {
			n.old = now.Add(oldTime)
		}
	}
	return s.pause(now, from, items)
}

// pause returns the time until the next step after items came from a source.
func (s *Sources) pause(now time.Time, from Source, items int) time.Duration {
	switch {
	case items == 0:
		return 0
	case !from.Store:
		return askGap
	case now.Sub(s.began) >= startTime:
		return readGap
	case s.isFirst:
		return firstGap
	}
	return startGap
}

// Failed notes that a source gave nothing.
func (s *Sources) Failed(now time.Time, from Source) {
	if n := s.node(from.Node); n != nil {
		n.absent = now.Add(unreachedTime)
	}
	if !from.Store {
		return
	}
	first, limit := askerStorePause, maxStorePause
	if s.IsReader(now) {
		first, limit = minStorePause, readerStorePause
	}
	s.storeDue = now.Add(min(first<<min(s.failures, maxDoublings), limit))
	s.failures++
}

// Age returns the age of the copy: what the store has changed since may be
// missing.
func (s *Sources) Age(now time.Time) time.Duration { return now.Sub(s.freshAt) }

// Next returns the source to use now.
func (s *Sources) Next(now time.Time) Source {
	name := s.reader(now)
	isOld := s.Age(now) > s.opts.MaxAge && !now.Before(s.askUntil)
	reads := name == "" || s.IsReader(now) || isOld
	switch {
	case reads && !now.Before(s.storeDue):
		return Source{Store: true}
	case name != "":
		return Source{Node: name}
	}
	return Source{Wait: s.storeDue.Sub(now)}
}

// IsReader reports whether this daemon is one of those that wait at the store:
// the first ones of the order that aren't left out.
func (s *Sources) IsReader(now time.Time) bool { return s.isAmong(now, s.opts.Readers) }

// isAmong reports whether this daemon is one of the first k of the order that aren't
// left out.
func (s *Sources) isAmong(now time.Time, k int) bool {
	before, isOutage := 0, s.IsOutage(now)
	for _, n := range s.nodes {
		if n.name == s.opts.Self {
			return before < k
		}
		if !n.isOut(now, isOutage) {
			before++
		}
	}
	return true
}

// isOut reports whether a daemon is left out of the order. One that has lost the store
// isn't left out if the store is away for all.
func (n node) isOut(now time.Time, isOutage bool) bool {
	return now.Before(n.absent) || now.Before(n.lost) && !isOutage
}

// reader returns the daemon to ask, "" for none: of the first ones that may be
// asked one by a hash with the own name, so that askers spread over them.
func (s *Sources) reader(now time.Time) string {
	isOutage := s.IsOutage(now)
	return s.choose(s.opts.Self, s.opts.Readers, func(n node) bool { return n.isOut(now, isOutage) || now.Before(n.old) })
}

// choose returns the daemon that another one asks: of the first k ones of the order that
// are neither itself nor left out, the one with the highest affinity. It returns "" if
// there is none.
func (s *Sources) choose(asker string, k int, isLeftOut func(n node) bool) string {
	var best string
	var weight uint64
	seen := 0
	for _, n := range s.nodes {
		if n.name == asker || isLeftOut(n) {
			continue
		}
		w := n.affinity
		if asker != s.opts.Self {
			w = affinity(asker, n.name)
		}
		if best == "" || w > weight {
			best, weight = n.name, w
		}
		if seen++; seen == k {
			break
		}
	}
	return best
}

// Serves reports whether another daemon asks this one, as far as both have reached the
// same daemons. A reader that another one asks hears from it several times a second.
func (s *Sources) Serves(now time.Time, name string) bool {
	asked := s.choose(name, s.opts.Readers, func(n node) bool { return now.Before(n.absent) })
	return asked == s.opts.Self
}

// affinity orders the readers for the daemon that asks.
func affinity(asker, reader string) uint64 { return xxhash.Sum64String(asker + "\x00" + reader) }

func (s *Sources) node(name string) *node {
	for i := range s.nodes {
		if s.nodes[i].name == name && name != s.opts.Self {
			return &s.nodes[i]
		}
	}
	return nil
}
