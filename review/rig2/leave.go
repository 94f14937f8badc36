package main

import (
	"context"
	"errors"
	"net/http"
	"time"

	"trefoilthread/platform/fake"
)

// Times of the case leave since its start.
const (
	leaveOutage  = 8 * time.Second                                    // the store goes away
	leaveAt      = leaveOutage + 2*time.Second                        // the target sends its last message
	leaveKill    = leaveAt + 2*time.Second                            // its daemon is killed
	leaveBack    = leaveOutage + 4500*time.Millisecond                // the store is back
	leaveRestart = leaveKill + time.Second                            // the daemon is started again
	leaveTouch   = leaveRestart + stableWindow + 500*time.Millisecond // all machines are in touch
	leaveExit    = leaveAt + 14*time.Second                           // the target ends
	leaveEnd     = leaveExit + 2*time.Second
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

// playLeave has a target leave while the store is away, and its daemon killed before the
// store is back. Rule DRAIN: no request reaches the target later than drainTime after the
// acknowledgement, sent when all machines were in touch again.
func playLeave(w *world, trouble bool) (bool, error) {
	w.configure(bookingsConfig)
	if err := w.startNodes("bookings", "bookings", "bookings", "bookings"); err != nil {
		return false, err
	}
	c := newCallers(w)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c.sendUsual(ctx)
	leaving := w.nodes[1]
	w.waitUntil(leaveOutage)
	if trouble {
		w.store.SetFault(fake.Busy)
		w.rec.note("store is down (503)")
	}
	w.waitUntil(leaveAt)
	if len(leaving.target.runs()) == 0 {
		return false, errors.New("the target had no request before it left")
	}
	if !leaving.target.leave() {
		return false, errors.New("the leaving was not acknowledged")
	}
	acknowledged := w.rec.since()
	if trouble {
		w.waitUntil(leaveKill)
		leaving.kill()
		w.waitUntil(leaveBack)
		w.store.SetFault(fake.None)
		w.rec.note("store is back")
		w.waitUntil(leaveRestart)
		if err := leaving.start(); err != nil {
			return false, err
		}
	}
	w.waitUntil(leaveExit)
	leaving.target.exit()
	w.rec.note("%s: target exits", leaving.name)
	w.waitUntil(leaveEnd)
	cancel()
	c.run.Wait()
	return countLate(w, c, leaving, acknowledged, leaveTouch), nil
}

// sendUsual sends lookups and payments to all daemons until ctx ends.
func (c *callers) sendUsual(ctx context.Context) {
	for _, n := range c.w.nodes {
		c.keepSending(ctx, n, http.MethodGet, "/look/120", 200*time.Millisecond, time.Second)
		c.keepSending(ctx, n, http.MethodPost, "/pay/160", 100*time.Millisecond, 1200*time.Millisecond)
	}
}

// countLate reports whether requests that were sent after touch reached the target too late, and
// notes what became of them.
func countLate(w *world, c *callers, leaving *node, acknowledged, touch time.Duration) bool {
	late, lost := 0, 0
	for _, a := range leaving.target.runs() {
		s, ok := c.find(a.id)
		if !ok || a.at < acknowledged+drainTime || s.at < touch {
			continue
		}
		late++
		if s.status != http.StatusOK {
			lost++
		}
	}
	w.rec.note("acknowledged at %.3f s; sent after %.3f s, in touch, and reached the target: %d, of these without a good answer: %d",
		acknowledged.Seconds(), touch.Seconds(), late, lost)
	return late > 0
}
