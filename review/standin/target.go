package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// target is a sound server of a service, as the platform's pages describe it.
type target struct {
	rec     *record
	service string
	zone    string
	control string
	work    time.Duration
	addr    string

	mu      sync.Mutex
	srv     *http.Server
	id      string
	born    int64
	seq     int
	running int
	closed  bool
	arrived map[string][]arrival // by id of the request
	fatal   func(r *http.Request) bool
}

// arrival is one arrival of a request.
type arrival struct {
	at      time.Duration // since the start of the record
	ran     bool
	ended   time.Duration // end of the run, 0 if it broke off
	target  string
	crashed bool
}

func newTarget(rec *record, ip, service string, work time.Duration) *target {
	t := &target{rec: rec, service: service, work: work, arrived: make(map[string][]arrival)}
	ln, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		rec.note("target: %v", err)
		t.addr = ip + ":1"
		return t
	}
	t.addr = ln.Addr().String()
	t.boot(ln)
	return t
}

// boot begins a start of the target.
func (t *target) boot(ln net.Listener) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.born = time.Now().UnixMilli()
	t.seq, t.running = 0, 0
	t.id = fmt.Sprintf("i-%x-%x", fnvOf(t.addr)&0xffffff, t.born&0xffffff)
	t.srv = &http.Server{Handler: t.handler(t.id), ReadHeaderTimeout: 10 * time.Second, IdleTimeout: 10 * time.Second}
	srv := t.srv
	go func() { _ = srv.Serve(ln) }()
	t.rec.note("target %s of %s begins at %s", t.id, t.service, t.addr)
}

func (t *target) close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
	if t.srv != nil {
		_ = t.srv.Close()
	}
}

// crash ends the target at once and starts it again after a while.
func (t *target) crash(down time.Duration) {
	t.mu.Lock()
	srv, id := t.srv, t.id
	t.srv = nil
	t.mu.Unlock()
	if srv == nil {
		return
	}
	_ = srv.Close()
	t.rec.note("target %s crashes", id)
	time.AfterFunc(down, func() {
		t.mu.Lock()
		closed := t.closed
		t.mu.Unlock()
		if closed {
			return
		}
		ln, err := net.Listen("tcp4", t.addr)
		if err != nil {
			t.rec.note("target: %v", err)
			return
		}
		t.boot(ln)
	})
}

// handler answers requests of one start.
func (t *target) handler(id string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		attempt := r.Header.Get("Attempt-Id")
		if attempt != "" {
			w.Header().Set("Attempt-Id", attempt)
		}
		t.mu.Lock()
		w.Header().Set("Server-Load", fmt.Sprintf("%d,0,%d,100", t.running, targetSlots))
		t.mu.Unlock()
		switch expected := r.Header.Get("Expected-Instance"); {
		case r.URL.Path == healthPath:
			w.Header().Set("Instance-Id", id)
			return
		case attempt == "":
			w.Header().Set("Not-Executed", "1")
			w.WriteHeader(http.StatusBadRequest)
			return
		case expected != "" && expected != id:
			w.Header().Set("Instance-Id", id)
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		t.run(w, r, id, attempt, body)
	})
}

// run runs a request, or rejects it if all slots are taken.
func (t *target) run(w http.ResponseWriter, r *http.Request, id, attempt string, body []byte) {
	t.mu.Lock()
	if t.running >= targetSlots {
		t.note(attempt, arrival{at: t.rec.since(), target: id})
		t.mu.Unlock()
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	t.running++
	a := arrival{at: t.rec.since(), ran: true, target: id}
	a.crashed = t.fatal != nil && t.fatal(r)
	k := t.note(attempt, a)
	t.mu.Unlock()
	t.rec.note("target %s runs %s (%s %s)", id, attempt, r.Method, r.URL.Path)
	if a.crashed {
		t.crash(3 * time.Second)
		return
	}
	done := time.NewTimer(t.work)
	defer done.Stop()
	aborted := false
	select {
	case <-done.C:
	case <-r.Context().Done():
		aborted = true
	}
	t.mu.Lock()
	if t.id == id {
		t.running--
	}
	if !aborted {
		t.arrived[attempt][k].ended = t.rec.since()
	}
	t.mu.Unlock()
	if aborted {
		t.rec.note("target %s drops %s, its connection was closed", id, attempt)
		return
	}
	t.rec.note("target %s answers %s", id, attempt)
	w.Header().Set("Response-Signature", fmt.Sprintf("%x", fnvOf(attempt+id+string(body))))
	_, _ = io.WriteString(w, "done "+attempt+"\n") // the record has the end of the run
}

// note records an arrival, with the lock held, and returns its place.
func (t *target) note(attempt string, a arrival) int {
	t.arrived[attempt] = append(t.arrived[attempt], a)
	return len(t.arrived[attempt]) - 1
}

// arrivals returns the arrivals of a request.
func (t *target) arrivals(attempt string) []arrival {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]arrival(nil), t.arrived[attempt]...)
}

// beats sends heartbeats until the target is closed.
func (t *target) beats() {
	for {
		t.mu.Lock()
		closed, up := t.closed, t.srv != nil
		t.mu.Unlock()
		if closed {
			return
		}
		pause := beatInterval
		if up && !t.beat() {
			pause = 200 * time.Millisecond // only until its first acknowledgement
		}
		time.Sleep(pause)
	}
}

// beat sends a heartbeat and reports whether it was acknowledged.
func (t *target) beat() bool {
	t.mu.Lock()
	t.seq++
	id := t.id
	doc, err := json.Marshal(map[string]any{
		"address": t.addr, "born": t.born,
		"instanceInfo": map[string]any{"service": t.service, "version": "v1", "zone": t.zone, "slots": targetSlots},
		"status":       map[string]any{"state": "ready", "seq": t.seq, "coldRemainingMs": 0},
	})
	t.mu.Unlock()
	return err == nil && t.post("/trefoilthread/Instances.Heartbeat/"+id, doc)
}

// post makes a call to the daemon and reports whether it was acknowledged within a second.
func (t *target) post(path string, body []byte) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+t.control+path, bytes.NewReader(body))
	if err != nil {
		return false
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := plainClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode/100 == 2
}

func fnvOf(s string) uint64 {
	h := fnv.New64a()
	_, _ = io.Copy(h, strings.NewReader(s)) // a hash takes all bytes
	return h.Sum64()
}
