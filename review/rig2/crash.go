package main

import (
	"cmp"
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
	crashEvery = 6 * time.Second
	crashEnd   = 95 * time.Second
	// batchBefore is how long before each of these times every daemon gets a batch of batchSize
	// payments: callers that come together at fixed times.
	batchBefore = 2500 * time.Millisecond
	batchSize   = 24
	// payBefore is how long before them every second daemon gets a payment of longPath.
	payBefore = 1500 * time.Millisecond
	longPath  = "/long/2500"
	// maxCrashRetries is the number of retries that may reach targets later than stableWindow
	// after the third crash.
	maxCrashRetries = 3
)

// playCrash sends a request that crashes each target that runs it, again and again. Rule
// BUDGET: it reaches targets in no more than maxCrashRetries retries of the daemons later than
// stableWindow after the third crash.
func playCrash(w *world, trouble bool) (bool, error) {
	w.configure(bookingsConfig)
	if err := w.startNodes("bookings", "bookings", "bookings", "bookings", "bookings", "bookings"); err != nil {
		return false, err
	}
	c := newCallers(w)
	for i := 0; crashBegin+time.Duration(i)*crashEvery < crashEnd; i++ {
		at := crashBegin + time.Duration(i)*crashEvery
		w.waitUntil(at - batchBefore)
		for _, n := range w.nodes {
			for range batchSize {
				c.sendLater(n, http.MethodPost, "/pay/60", 1200*time.Millisecond)
			}
		}
		w.waitUntil(at - payBefore)
		for k := i % 2; k < len(w.nodes); k += 2 {
			c.sendLater(w.nodes[k], http.MethodPost, longPath, 6*time.Second)
		}
		w.waitUntil(at)
		if trouble {
			c.send(w.nodes[i%len(w.nodes)], http.MethodGet, crashPath+"7", time.Second)
		}
	}
	c.run.Wait()
	return countRetries(w, c), nil
}

// countRetries reports whether the request reached targets in too many retries after the third
// crash. A retry is a second send of one attempt by a daemon: a repeat of the caller is a new
// request. It notes how many other requests were lost since then.
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
	sent := make(map[string]bool)
	arrived, retries, lost := 0, 0, 0
	for _, a := range crashes {
		if a.at > from {
			arrived++
			if sent[a.id] {
				retries++
			}
		}
		sent[a.id] = true
	}
	for _, a := range others {
		if s, ok := c.find(a.id); ok && a.at > from && s.status != http.StatusOK {
			lost++
		}
	}
	w.rec.note("%d crashes; later than %v after the third one the request reached targets %d times, in %d retries of daemons, allowed %d; other requests lost in these crashes: %d",
		len(crashes), stableWindow, arrived, retries, maxCrashRetries, lost)
	return retries > maxCrashRetries
}
