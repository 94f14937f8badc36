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
	// after the third target crashed.
	maxCrashRetries = 3
)

// bookingsConfig has one service with a route for lookups and one for payments.
const bookingsConfig = `{"version":"r1","services":[{"name":"bookings","connectionLimit":260,"healthPath":"/health"}],
"limits":{"headerBytes":16384,"bodyBytes":1048576,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"hosts":[{"host":"ficu95.example","paths":[
{"name":"look","pathPrefix":"/look/","kind":"safe","timeoutMs":1500,"targetLatencyMs":400,"priority":2,"service":"bookings","attempts":2},
{"name":"pay","pathPrefix":"/pay/","kind":"unsafe","timeoutMs":1500,"targetLatencyMs":400,"priority":1,"service":"bookings","attempts":2},
{"name":"crash","pathPrefix":"/crash/","kind":"safe","timeoutMs":1500,"targetLatencyMs":400,"priority":2,"service":"bookings","attempts":2},
{"name":"long","pathPrefix":"/long/","kind":"unsafe","timeoutMs":8000,"targetLatencyMs":4000,"priority":1,"service":"bookings","attempts":2}
]}]}`

// playCrash sends a request that crashes each target that runs it, again and again. Rule
// BUDGET: it reaches targets in no more than maxCrashRetries retries of the daemons later than
// stableWindow after the third target crashed.
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
// target crashed. A retry is a second send of one attempt by a daemon: a repeat of the caller is a new
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
	from, ok := thirdCrash(crashes)
	if !ok {
		w.rec.note("%d crashes", len(crashes))
		return false
	}
	from += stableWindow
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
	w.rec.note("%d crashes; later than %v after the third target crashed the request reached targets %d times, in %d retries of daemons, allowed %d; other requests lost in these crashes: %d",
		len(crashes), stableWindow, arrived, retries, maxCrashRetries, lost)
	return retries > maxCrashRetries
}

// thirdCrash returns when the third different target crashed.
func thirdCrash(crashes []arrival) (time.Duration, bool) {
	crashed := make(map[string]bool)
	for _, a := range crashes {
		crashed[a.node] = true
		if len(crashed) == 3 {
			return a.at + crashAfter, true
		}
	}
	return 0, false
}
