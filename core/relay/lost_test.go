package relay_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"trefoilthread/core/relay"
)

const (
	stepTime  = 10 * time.Millisecond
	waitTime  = 700 * time.Millisecond // of a call for changes at the store
	queryTime = 400 * time.Millisecond // of a query without news
)

// learner is a daemon of a model in which nothing changes at the store.
type learner struct {
	sources *relay.Sources
	refused bool // by the store
	at      relay.Source
	until   time.Time
}

// step ends the call that is due and begins the next one.
func (l *learner) step(now time.Time, all map[string]*learner) {
	if now.Before(l.until) {
		return
	}
	switch other := all[l.at.Node]; {
	case l.at.Store && l.refused:
		l.sources.Failed(now, l.at)
	case l.at.Store:
		l.sources.Learned(now, l.at, 0, 0)
	case other != nil:
		l.sources.Learned(now, l.at, other.sources.Age(now), 0)
		if other.sources.IsStoreLost(now) {
			l.sources.LostStore(now, l.at)
		}
	}
	l.at = l.sources.Next(now)
	switch {
	case l.at.Store && l.refused:
		l.until = now
	case l.at.Store:
		l.until = now.Add(waitTime)
	case l.at.Node != "" && all[l.at.Node].sources.IsStoreLost(now) && !l.sources.IsOutage(now):
		l.until = now // answered at once
	case l.at.Node != "":
		l.until = now.Add(queryTime)
	default:
		l.until = now.Add(l.at.Wait)
	}
}

// Guards against copies that grow old at daemons which the store serves, because those
// that read for them are turned away: a configuration is in force within two seconds, and
// a call that waits at the store takes some of them.
func TestReadersTurnedAwayAreLeft(t *testing.T) {
	const (
		daemons  = 20
		settling = 2 * time.Second
		bound    = 1500 * time.Millisecond
	)
	is := is.New(t)
	all := make(map[string]*learner)
	for name, s := range fleet(daemons) {
		all[name] = &learner{sources: s, until: start}
	}
	refused := 0
	for _, l := range all {
		if l.sources.IsReader(start) {
			l.refused = true
			refused++
		}
	}
	is.Equal(refused, 2)
	var oldest time.Duration
	for now := start; now.Before(start.Add(20 * time.Second)); now = now.Add(stepTime) {
		for _, name := range names(daemons) {
			l := all[name]
			l.step(now, all)
			if now.Sub(start) > settling && !l.refused {
				oldest = max(oldest, l.sources.Age(now))
			}
		}
	}
	t.Logf("oldest copy %v", oldest)
	is.True(oldest <= bound)
}
