package relay_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"trefoilthread/core/relay"
)

var start = time.Unix(1000, 0)

func names(n int) []string {
	list := make([]string, n)
	for i := range list {
		list[i] = fmt.Sprintf("n%d", i)
	}
	return list
}

// peers returns daemons whose links aren't known.
func peers(n int) []relay.Peer {
	list := make([]relay.Peer, n)
	for i, name := range names(n) {
		list[i].Name = name
	}
	return list
}

// fleet returns the sources of n daemons that know each other and have a
// current copy.
func fleet(n int) map[string]*relay.Sources {
	all := map[string]*relay.Sources{}
	for _, name := range names(n) {
		s := relay.NewSources(relay.Options{Self: name})
		s.SetNodes(peers(n))
		s.Learned(start, relay.Source{Store: true}, 0, 0)
		all[name] = s
	}
	return all
}

// readers returns the names of the daemons that wait at the store.
func readers(all map[string]*relay.Sources, now time.Time) map[string]bool {
	got := map[string]bool{}
	for name, s := range all {
		if s.Next(now).Store {
			got[name] = true
		}
	}
	return got
}

// Guards against store calls that grow with the number of daemons, and against
// askers that all ask the same reader.
func TestFewReadersServeAll(t *testing.T) {
	is := is.New(t)
	all := fleet(85)
	at := readers(all, start)
	is.Equal(len(at), 2)
	asked := map[string]int{}
	for name, s := range all {
		if at[name] {
			continue
		}
		next := s.Next(start)
		is.True(at[next.Node])
		asked[next.Node]++
	}
	is.Equal(len(asked), 2)
}

// Guards against a daemon that starts alone, or is cut off from all others, and
// learns nothing: it reads as soon as its copy is too old.
func TestAloneOneReads(t *testing.T) {
	is := is.New(t)
	s := relay.NewSources(relay.Options{Self: "a"})
	is.True(s.Next(start).Store)
	for _, s := range fleet(20) {
		now := start
		for next := s.Next(now); !next.Store; next = s.Next(now) {
			is.True(next.Node != "")
			s.Failed(now, next)
			now = now.Add(100 * time.Millisecond)
		}
		is.True(now.Sub(start) <= 1600*time.Millisecond)
	}
}

// Guards against a daemon that trusts readers that are cut off from the store
// themselves: the copy's age counts, not that they answer.
func TestOldCopiesAreNotTrusted(t *testing.T) {
	is := is.New(t)
	all := fleet(20)
	at := readers(all, start)
	for name, s := range all {
		if at[name] {
			continue
		}
		first := s.Next(start)
		now := start.Add(1600 * time.Millisecond)
		s.Learned(now, first, 1600*time.Millisecond, 0)
		is.True(s.Next(now).Store)
		// The own call fails as well: others are asked meanwhile.
		s.Failed(now, relay.Source{Store: true})
		next := s.Next(now)
		is.True(next.Node != "" && next.Node != first.Node)
		// Somebody has a current copy.
		s.Learned(now, next, 100*time.Millisecond, 0)
		is.Equal(s.Next(now).Node, next.Node)
	}
}

// Guards against readers that all daemons stop to ask when one is gone, and
// against one that is left out for ever.
func TestNextOneMovesUp(t *testing.T) {
	is := is.New(t)
	all := fleet(20)
	at := readers(all, start)
	var dead string
	for name := range at {
		dead = name
	}
	delete(all, dead)
	for _, s := range all {
		s.Failed(start, relay.Source{Node: dead})
	}
	now := readers(all, start)
	is.Equal(len(now), 2)
	later := start.Add(4 * time.Second)
	for _, s := range all {
		s.Learned(later, relay.Source{Node: "n0"}, 0, 0)
	}
	is.Equal(len(readers(all, later)), 1) // and the one that was dead
}

// Guards against a store that is away and gets calls of all daemons all the
// time; the readers note its return within half a second.
func TestOutage(t *testing.T) {
	is := is.New(t)
	all := fleet(85)
	first := readers(all, start)
	down, calls := 10*time.Second, 0
	latest := map[string]time.Time{}
	for step := time.Duration(0); step < down; step += 10 * time.Millisecond {
		now := start.Add(step)
		for name, s := range all {
			next := s.Next(now)
			switch {
			case next.Store:
				calls++
				latest[name] = now
				s.Failed(now, next)
			case next.Node != "":
				s.Learned(now, next, all[next.Node].Age(now), 0)
			}
		}
	}
	is.True(calls < 85*int(down/time.Second))
	readerCalls := 2 * int(down/(500*time.Millisecond)+1)
	is.True(calls-readerCalls <= 83*3) // one in about four seconds of an asker
	for name := range first {
		is.True(start.Add(down).Sub(latest[name]) <= 510*time.Millisecond)
	}
}

// Guards against readers on VMs with slow links, which callers' requests need,
// where others have fast ones.
func TestFastLinksRead(t *testing.T) {
	is := is.New(t)
	list := peers(85)
	link := map[string]float64{}
	for i := range list {
		list[i].Link = 10
		if i%20 == 0 {
			list[i].Link = 200
		}
		link[list[i].Name] = list[i].Link
	}
	for _, p := range list {
		s := relay.NewSources(relay.Options{Self: p.Name, Link: p.Link})
		s.SetNodes(list)
		s.Learned(start, relay.Source{Store: true}, 0, 0)
		if next := s.Next(start); next.Store {
			is.Equal(p.Link, 200.0)
		} else {
			is.Equal(link[next.Node], 200.0)
		}
	}
}

// Guards against a reader whose link is busy for long with a value that it
// tells all others.
func TestTellLimit(t *testing.T) {
	is := is.New(t)
	const tenthOfLink = 10 * 1e6 / 8 / 10 // bytes in 100 ms at 10 Mbit/s
	for _, n := range []int{2, 12} {
		s := relay.NewSources(relay.Options{Self: "n0", Link: 10})
		s.SetNodes(peers(n))
		is.True(s.TellLimit()*n/2 <= tenthOfLink)
		is.True(s.TellLimit()*n > tenthOfLink)
	}
	s := relay.NewSources(relay.Options{Self: "n0", Link: 10})
	s.SetNodes(peers(5200))
	is.True(s.TellLimit() > 1000) // records are always told
	s = relay.NewSources(relay.Options{Self: "n0", Link: 1e5})
	is.True(s.TellLimit() <= 1<<20)
}

// Guards against a call to the store of each daemon when all start together, and
// against one that waits for readers that never come.
func TestStartsAskTheReaders(t *testing.T) {
	is := is.New(t)
	reads := 0
	for _, name := range names(85) {
		s := relay.NewSources(relay.Options{Self: name})
		s.SetNodes(peers(85))
		s.Learned(start, relay.Source{}, time.Hour, 0)
		s.Introduced(start)
		next := s.Next(start)
		if next.Store {
			reads++
			continue
		}
		s.Failed(start, next)
		if s.IsReader(start) {
			continue // it takes the place of the one that failed
		}
		is.True(s.Next(start.Add(500*time.Millisecond)).Node != "")
		is.True(s.Next(start.Add(700 * time.Millisecond)).Store)
	}
	is.Equal(reads, 2)
}

// Guards against long values that all daemons read from the store, against a teller that
// has to tell most of them, and against a lost one that keeps its askers from them.
func TestTellersShareTheAskers(t *testing.T) {
	for _, tc := range []struct{ daemons, tellers int }{{1, 1}, {12, 2}, {295, 15}, {1000, 50}} {
		is := is.New(t)
		now := time.Unix(1000, 0)
		all := fleet(tc.daemons)
		asked := map[string]int{}
		for name, s := range all {
			teller := s.Teller(now)
			is.Equal(teller == "", s.IsTeller(now))
			if teller == "" {
				asked[name] += 0
				continue
			}
			is.True(all[teller].IsTeller(now))
			asked[teller]++
			s.Failed(now, relay.Source{Node: teller})
			is.True(s.Teller(now) != teller)
		}
		is.Equal(len(asked), tc.tellers)
		for _, n := range asked {
			is.True(n <= 3*tc.daemons/tc.tellers)
		}
	}
}
