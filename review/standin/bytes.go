package main

import (
	"os"
	"sync"
	"syscall"
	"time"
)

// playBytes stops a daemon by SIGTERM while callers at it have deposits open, and one of
// them sends a header value with a byte that isn't UTF-8.
func playBytes(w *world) verdict {
	routes := []route{
		{Name: "deposit", Prefix: "/deposit/", Kind: "unsafe", Timeout: 1200, Goal: 400, Service: "bookings", Attempts: 2, Priority: 1},
		{Name: "menu", Prefix: "/menu/", Kind: "safe", Timeout: 1000, Goal: 400, Service: "bookings", Attempts: 2, Priority: 2},
	}
	w.configure([]string{"bookings"}, routes)
	for i := range 4 {
		w.addNode("bookings", []string{"za", "zb"}[i%2], 160*time.Millisecond)
	}
	if !w.awaitReady() {
		return verdict{}
	}
	time.Sleep(2 * time.Second)
	var (
		mu      sync.Mutex
		open    sync.WaitGroup
		answers = make(map[string]answer)
	)
	first := w.nodes[0]
	deposit := func() {
		defer open.Done()
		q := request{id: newID(), at: first, method: "POST", path: "/deposit/p1", body: "guest deposit", deadline: 1200 * time.Millisecond}
		a := w.send(q)
		mu.Lock()
		answers[q.id] = a
		mu.Unlock()
	}
	var term time.Duration
	begin := w.rec.since()
	stopAt := begin + time.Second
	for i := 0; w.rec.since() < stopAt+sendAfter; i++ {
		isStopping := w.rec.since() >= stopAt
		if isStopping && w.trouble && term == 0 {
			term = w.rec.since()
			first.signal(syscall.SIGTERM)
		}
		open.Add(1)
		go deposit()
		if isStopping && i%lookupEvery == 0 {
			open.Add(1)
			go func() {
				defer open.Done()
				w.send(request{
					id: newID(), at: first, method: "GET", path: "/menu/p1", header: lookupHeader(), deadline: time.Second,
				})
			}()
		}
		time.Sleep(depositInterval)
	}
	open.Wait()
	return w.judgeCut(answers, term)
}

const (
	// sendAfter is how long callers send after the SIGTERM: less than the time between two
	// readiness checks.
	sendAfter       = 900 * time.Millisecond
	depositInterval = 10 * time.Millisecond
	lookupEvery     = 10 // deposits
)

// lookupHeader returns the header line of the lookups. Its value has a byte above 0x7f that
// isn't UTF-8, as RFC 9110 allows in a field value; PLAIN=1 leaves that out.
func lookupHeader() string {
	if os.Getenv("PLAIN") == "1" {
		return "X-Guest: Jose\r\n"
	}
	return "X-Guest: Jos\xe9\r\n"
}
