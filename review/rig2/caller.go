package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// sent is a request of a caller with its answer.
type sent struct {
	id     string
	node   *node // whose daemon it was sent to
	at     time.Duration
	status int // 0 without an answer
}

// callers send requests, each on a new connection.
type callers struct {
	w      *world
	number atomic.Int64

	mu  sync.Mutex
	all map[string]*sent
	run sync.WaitGroup
}

func newCallers(w *world) *callers { return &callers{w: w, all: make(map[string]*sent)} }

// send sends a request to a daemon and waits for its answer.
func (c *callers) send(n *node, method, path string, deadline time.Duration) *sent {
	s := &sent{id: fmt.Sprintf("req-%05d", c.number.Add(1)), node: n, at: c.w.rec.since()}
	c.mu.Lock()
	c.all[s.id] = s
	c.mu.Unlock()
	c.w.rec.note("caller at %s sends %s %s %s", n.name, s.id, method, path)
	status, err := c.exchange(n, s.id, method, path, deadline)
	c.mu.Lock()
	s.status = status
	c.mu.Unlock()
	c.w.rec.note("caller at %s gets %d for %s, error %v", n.name, status, s.id, err)
	return s
}

func (c *callers) exchange(n *node, id, method, path string, deadline time.Duration) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+n.ip+":7001"+path, http.NoBody)
	if err != nil {
		return 0, err
	}
	req.Host, req.Close = "ficu95.example", true
	req.Header.Set("Attempt-Id", id)
	req.Header.Set("Deadline-Milliseconds", fmt.Sprint(deadline.Milliseconds()))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close() // read to its end
	return resp.StatusCode, err
}

// sendLater is send without waiting for the answer.
func (c *callers) sendLater(n *node, method, path string, deadline time.Duration) {
	c.run.Add(1)
	go func() {
		defer c.run.Done()
		c.send(n, method, path, deadline)
	}()
}

// find returns a copy of the request with an id.
func (c *callers) find(id string) (sent, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, ok := c.all[id]
	if !ok {
		return sent{}, false
	}
	return *s, true
}
