package main

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"strings"
	"time"
)

const (
	// crashDown is how long a crashed target is down.
	crashDown = 3 * time.Second
	// crashBegin is when the request that crashes targets first comes, crashEvery how often
	// it comes again.
	crashBegin = 8 * time.Second
	crashEvery = 5 * time.Second
	crashEnd   = 95 * time.Second
	// longEvery is how often each daemon gets another request, which takes longWork.
	longEvery = 16 * time.Second
	longPath  = "/long/2500"
	// maxCrashRetries is the number of retries that may reach targets later than stableWindow
	// after the third crash.
	maxCrashRetries = 3
)

// playCrash sends a request that crashes each target that runs it, again and again at
// low traffic. Rule BUDGET: it reaches targets in no more than maxCrashRetries retries
// later than stableWindow after the third crash.
func playCrash(w *world, trouble bool) (bool, error) {
	w.configure(bookingsConfig)
	if err := w.startNodes("bookings", "bookings", "bookings", "bookings"); err != nil {
		return false, err
	}
	c := newCallers(w)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for i, n := range w.nodes {
		time.AfterFunc(time.Duration(i)*longEvery/4, func() {
			c.keepSending(ctx, n, http.MethodPost, longPath, longEvery, 6*time.Second)
		})
	}
	for i := 0; crashBegin+time.Duration(i)*crashEvery < crashEnd; i++ {
		w.waitUntil(crashBegin + time.Duration(i)*crashEvery)
		if trouble {
			c.send(w.nodes[i%len(w.nodes)], http.MethodGet, crashPath+"7", time.Second)
		}
	}
	cancel()
	c.run.Wait()
	return countRetries(w, c), nil
}

// countRetries reports whether the request reached targets too often after the third crash. It
// notes how many other requests were lost since then.
func countRetries(w *world, c *callers) bool {
	var crashes, others []arrival
	for _, n := range w.nodes {
		for _, a := range n.target.runs() {
			if strings.HasPrefix(a.path, crashPath) {
				crashes = append(crashes, a)
			} else {
				others = append(others, a)
			}
		}
	}
	slices.SortFunc(crashes, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
	if len(crashes) < 3 {
		w.rec.note("%d crashes", len(crashes))
		return false
	}
	from := crashes[2].at + crashAfter + stableWindow
	retries, lost := 0, 0
	for _, a := range crashes {
		if a.at > from {
			retries++
		}
	}
	for _, a := range others {
		if s, ok := c.find(a.id); ok && a.at > from && s.status != http.StatusOK {
			lost++
		}
	}
	w.rec.note("%d crashes; later than %v after the third one the request reached targets %d times, allowed %d; other requests lost in these crashes: %d",
		len(crashes), stableWindow, retries, maxCrashRetries, lost)
	return retries > maxCrashRetries
}
