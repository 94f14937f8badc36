package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// poisonPath is the path of the request that crashes targets.
const poisonPath = "/menu/poison"

// playPoison has a caller send, again and again, a request that crashes each target that
// runs it, beside usual traffic.
func playPoison(w *world) verdict {
	w.configure([]string{"bookings"}, []route{
		{Name: "menu", Prefix: "/menu/", Kind: "safe", Timeout: 1000, Goal: 400, Service: "bookings", Attempts: 2, Priority: 2},
	})
	for i := range 6 {
		n := w.addNode("bookings", []string{"za", "zb"}[i%2], 60*time.Millisecond)
		n.target.fatal = func(r *http.Request) bool { return w.trouble && strings.HasPrefix(r.URL.Path, poisonPath) }
	}
	if !w.awaitReady() {
		return verdict{}
	}
	time.Sleep(time.Second)
	var (
		open sync.WaitGroup
		mu   sync.Mutex
		ids  []string
	)
	send := func(k int, path string, repeats int) {
		open.Add(1)
		go func() {
			defer open.Done()
			for j := range 1 + repeats {
				q := request{id: newID(), at: w.nodes[(k+j)%len(w.nodes)], method: "GET", path: path, deadline: time.Second}
				mu.Lock()
				if path == poisonPath {
					ids = append(ids, q.id)
				}
				mu.Unlock()
				if w.send(q).status == http.StatusOK {
					return
				}
			}
		}()
	}
	for i := 0; w.rec.since() < poisonTime; i++ {
		send(i, fmt.Sprintf("/menu/p%d", i), 0)
		if i%poisonEvery == 0 {
			send(i/poisonEvery, poisonPath, poisonRepeats)
		}
		time.Sleep(menuInterval)
	}
	open.Wait()
	return w.judgePoison(ids)
}

const (
	poisonTime   = 104 * time.Second
	menuInterval = 25 * time.Millisecond
	poisonEvery  = 32
	// poisonRepeats is how often the caller repeats the request at once, as those do that
	// don't wait as instructed.
	poisonRepeats = 3
)

// judgePoison judges BUDGET for a request that crashes targets.
func (w *world) judgePoison(ids []string) verdict {
	var crashes []time.Duration
	for _, id := range ids {
		for _, n := range w.nodes {
			for _, a := range n.target.arrivals(id) {
				if a.crashed {
					crashes = append(crashes, a.at)
				}
			}
		}
	}
	if len(crashes) < 3 {
		return verdict{false, fmt.Sprintf("%d targets crashed", len(crashes))}
	}
	sortTimes(crashes)
	from := crashes[2] + stableWindow
	arrived, retries := 0, 0
	for _, id := range ids {
		var at []time.Duration
		for _, n := range w.nodes {
			for _, a := range n.target.arrivals(id) {
				at = append(at, a.at)
			}
		}
		sortTimes(at)
		for k, x := range at {
			if x <= from {
				continue
			}
			arrived++
			if k > 0 {
				retries++
			}
		}
	}
	return verdict{retries > 3, fmt.Sprintf("%d crashes; after the third and %s more, %d arrivals at targets, %d of them retries of the daemons", len(crashes), stableWindow, arrived, retries)}
}
