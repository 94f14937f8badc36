package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"trefoilthread/platform/fake"
)

const (
	boundsCallers = 40
	boundsBody    = 2 << 20                // an upload; bodyBytes of the document is 64 MiB
	boundsPause   = 9 * time.Second        // below four fifths of idleTimeoutMs
	boundsWait    = 4 * time.Second        // for the daemon to listen again
	boundsRetry   = 100 * time.Millisecond // between two tries of a caller to connect
	slowTime      = 4500 * time.Millisecond
)

// playBounds kills a daemon and starts it again while the store is slow. Callers connect
// again, send a lookup and, later on the same connections, a long order.
func playBounds(w *world) verdict {
	w.configure([]string{"bookings", "stockroom"}, []route{
		{Name: "menu", Prefix: "/menu/", Kind: "safe", Timeout: 1000, Goal: 400, Service: "bookings", Attempts: 2, Priority: 2},
		{Name: "order", Prefix: "/order/", Kind: "unsafe", Timeout: 2000, Goal: 1000, Service: "stockroom", Attempts: 2, Priority: 1},
	})
	for i := range 4 {
		w.addNode([]string{"bookings", "stockroom"}[i%2], []string{"za", "zb"}[i/2], 50*time.Millisecond)
	}
	if !w.awaitReady() {
		return verdict{}
	}
	time.Sleep(2 * time.Second)
	first := w.nodes[0]
	if w.trouble {
		w.store.SetFault(fake.Slow) // answers after storeDelay
		time.AfterFunc(slowTime, func() { w.store.SetFault(fake.None) })
		first.kill()
		time.AfterFunc(300*time.Millisecond, first.start)
	}
	var (
		open    sync.WaitGroup
		mu      sync.Mutex
		answers []answer
	)
	for range boundsCallers {
		open.Add(1)
		go func() {
			defer open.Done()
			list := w.lookUpAndOrder(first)
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, list...)
		}()
	}
	open.Wait()
	return w.judgeDenied(answers)
}

// lookUpAndOrder sends a lookup and, after a pause, an order on one connection.
func (w *world) lookUpAndOrder(n *node) []answer {
	c := w.connect(n)
	if c == nil {
		return nil
	}
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	list := []answer{w.exchange(c, br, request{id: newID(), at: n, method: http.MethodGet, path: "/menu/x", deadline: time.Second})}
	time.Sleep(boundsPause)
	return append(list, w.exchange(c, br, request{
		id: newID(), at: n, method: http.MethodPost, path: "/order/x", body: strings.Repeat("x", boundsBody), deadline: 2 * time.Second,
	}))
}

// connect connects to a daemon once it listens; nil if it doesn't.
func (w *world) connect(n *node) net.Conn {
	time.Sleep(rand.N(boundsRetry))
	for end := time.Now().Add(boundsWait); time.Now().Before(end); time.Sleep(boundsRetry) {
		if c, err := net.DialTimeout("tcp4", n.callers, time.Second); err == nil {
			return c
		}
	}
	w.fail(fmt.Errorf("%s doesn't listen", n.name))
	return nil
}

// exchange sends a request on a connection and waits for its answer.
func (w *world) exchange(c net.Conn, br *bufio.Reader, q request) answer {
	a := answer{sent: w.rec.since()}
	w.rec.note("caller at %s: sends %s (%s %s, body of %d bytes)", q.at.name, q.id, q.method, q.path, len(q.body))
	_ = c.SetDeadline(time.Now().Add(q.deadline)) // an error shows in the read
	sent := make(chan error, 1)
	go func() {
		_, err := io.WriteString(c, q.bytes())
		sent <- err
	}()
	a.read(br, q.method)
	a.got = w.rec.since()
	w.rec.note("caller at %s: %s ends with %d, signed %v, error %v", q.at.name, q.id, a.status, a.signed, a.err)
	return a
}

// judgeDenied judges DENIED.
func (w *world) judgeDenied(answers []answer) verdict {
	denied := 0
	for _, a := range answers {
		if a.status >= 300 && a.status < 500 && !a.signed && a.status != 408 && a.status != 421 && a.status != 429 {
			denied++
		}
	}
	allowed := 5 + float64(len(answers))/500
	return verdict{float64(denied) > allowed, fmt.Sprintf("%d of %d requests ended with a 3xx or 4xx of the daemon's own, allowed %.1f", denied, len(answers), allowed)}
}
