package main

import (
	"errors"
	"net/http"
	"time"
)

const (
	settingsChange = time.Second // after the start of the daemon
	settingsSettle = 10 * time.Second
)

// settingsConfig has two services.
const settingsConfig = `{"version":"r1","services":[{"name":"bookings","connectionLimit":260,"healthPath":"/health"},
{"name":"stockroom","connectionLimit":260,"healthPath":"/health"}],
"limits":{"headerBytes":16384,"bodyBytes":1048576,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"hosts":[{"host":"ficu95.example","paths":[
{"name":"look","pathPrefix":"/look/","kind":"safe","timeoutMs":1500,"targetLatencyMs":400,"priority":2,"service":"bookings","attempts":2}
]}]}`

// playSettings restarts a daemon; soon after, another service's target takes the place of
// the one on its machine, and the settings name that service, without a signal. Rule UNASKED:
// targets get the service of the machine as Calling-Service.
func playSettings(w *world, trouble bool) (bool, error) {
	w.configure(settingsConfig)
	if err := w.startNodes("bookings", "bookings", "bookings"); err != nil {
		return false, err
	}
	n := w.nodes[2]
	n.kill()
	if err := n.start(); err != nil {
		return false, err
	}
	want := "bookings"
	if trouble {
		time.Sleep(settingsChange)
		want = "stockroom"
		if err := n.target.replace(want); err != nil {
			return false, err
		}
		if err := n.writeSettings(want); err != nil {
			return false, err
		}
		w.rec.note("%s: target replaced, settings file changed to service %s without a signal", n.name, want)
	}
	time.Sleep(settingsSettle)
	c := newCallers(w)
	for range 20 {
		c.send(n, http.MethodGet, "/look/20", time.Second)
	}
	right, wrong := 0, 0
	for _, m := range w.nodes {
		for _, a := range m.target.runs() {
			if a.caller == want {
				right++
			} else {
				wrong++
			}
		}
	}
	w.rec.note("Calling-Service %s: %d runs, another one: %d runs", want, right, wrong)
	if right+wrong == 0 {
		return false, errors.New("no request was run")
	}
	return wrong > 0, nil
}
