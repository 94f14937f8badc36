package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	slots      = 12
	healthPath = "/health"
	// crashPath begins the paths of requests that crash each target that runs them.
	crashPath = "/crash/"
	// crashAfter is the time that such a request runs before.
	crashAfter = 20 * time.Millisecond
)

// arrival is a request that reached a target.
type arrival struct {
	node             string // where the target is
	id, path, caller string
	at               time.Duration // since the start of the case
}

// target is a stand-in of a server beside a daemon. Its id changes with each start.
type target struct {
	n       *node
	service string
	addr    string

	mu       sync.Mutex
	id       string
	born     int64
	sequence int
	starts   int
	running  int
	web      *http.Server
	crashes  int
	arrivals []*arrival
}

func newTarget(n *node, service string) (*target, error) {
	t := &target{n: n, service: service, addr: n.ip + ":9001"}
	return t, t.start()
}

// start begins a new start of the target, with a new id.
func (t *target) start() error {
	ln, err := net.Listen("tcp4", t.addr)
	if err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.starts++
	t.id, t.born = fmt.Sprintf("i-%s-%d", t.n.name, t.starts), time.Now().UnixMilli()
	t.sequence, t.running = 0, 0
	t.web = &http.Server{Handler: http.HandlerFunc(t.serve)}
	web := t.web
	go func() { _ = web.Serve(ln) }() // ends with exit
	return nil
}

// exit ends the target with all its connections.
func (t *target) exit() {
	t.mu.Lock()
	web := t.web
	t.web = nil
	t.mu.Unlock()
	if web != nil {
		_ = web.Close()
	}
}

// beat sends heartbeats.
func (t *target) beat() {
	for {
		t.sendBeat()
		time.Sleep(heartbeatPeriod)
	}
}

// sendBeat sends a heartbeat if the target runs.
func (t *target) sendBeat() {
	t.mu.Lock()
	isUp := t.web != nil
	t.sequence++
	id, doc := t.id, t.beatDoc()
	t.mu.Unlock()
	if isUp {
		_, _ = t.tell("Instances.Heartbeat/"+id, doc) // the next one follows
	}
}

// beatDoc returns a heartbeat with the present sequence number, with the lock held.
func (t *target) beatDoc() map[string]any {
	return map[string]any{
		"address": t.addr, "born": t.born,
		"instanceInfo": map[string]any{"service": t.service, "version": "v1", "zone": "kl-sentral", "slots": slots},
		"status":       map[string]any{"state": "ready", "seq": t.sequence, "coldRemainingMs": 0},
	}
}

// tell sends a message to the control address of the own daemon, which counts as acknowledged
// within a second.
func (t *target) tell(path string, doc any) (int, error) {
	data, err := json.Marshal(doc)
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+t.n.ip+":7003/trefoilthread/"+path, bytes.NewReader(data))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err
	}
	return resp.StatusCode, resp.Body.Close()
}

// serve answers a health check or runs a request.
func (t *target) serve(w http.ResponseWriter, r *http.Request) {
	t.mu.Lock()
	id, load := t.id, t.load()
	t.mu.Unlock()
	w.Header().Set("Server-Load", load)
	if r.URL.Path == healthPath {
		w.Header().Set("Instance-Id", id)
		return
	}
	w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
	if want := r.Header.Get("Expected-Instance"); want != "" && want != id {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return // the request broke off
	}
	t.run(w, r, id)
}

// load returns the value of Server-Load (running, waiting, slots, pace), with the lock held. A
// target runs all its requests at once, so those that are more than its slots count as waiting.
func (t *target) load() string {
	return fmt.Sprintf("%d,%d,%d,100", min(t.running, slots), max(t.running-slots, 0), slots)
}

// run runs a request, whose path ends with the milliseconds of work.
func (t *target) run(w http.ResponseWriter, r *http.Request, id string) {
	a := &arrival{node: t.n.name, id: r.Header.Get("Attempt-Id"), path: r.URL.Path, caller: r.Header.Get("Calling-Service"), at: t.n.w.rec.since()}
	t.mu.Lock()
	t.arrivals = append(t.arrivals, a)
	t.running++
	t.mu.Unlock()
	t.n.w.rec.note("%s: target %s runs %s %s, Calling-Service %s", t.n.name, id, a.id, a.path, a.caller)
	if strings.HasPrefix(r.URL.Path, crashPath) {
		time.Sleep(crashAfter)
		t.crash()
		panic(http.ErrAbortHandler)
	}
	ms, _ := strconv.Atoi(r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:]) // 0 without a number
	select {
	case <-time.After(time.Duration(ms) * time.Millisecond):
	case <-r.Context().Done():
		t.end(id)
		t.n.w.rec.note("%s: target %s: connection of %s ended during its run", t.n.name, id, a.id)
		return
	}
	t.end(id)
	t.mu.Lock()
	w.Header().Set("Server-Load", t.load())
	t.mu.Unlock()
	w.Header().Set("Response-Signature", "3e1b.07.5a2.600.0.c9f2a4d1")
	_, _ = io.WriteString(w, "done "+a.id) // the daemon may have gone
}

// end takes a request of the start id out of the running ones.
func (t *target) end(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.id == id {
		t.running--
	}
}

// crash ends the target; it is back after some seconds.
func (t *target) crash() {
	t.exit()
	t.mu.Lock()
	t.crashes++
	n := t.crashes
	t.mu.Unlock()
	t.n.w.rec.note("%s: target crashed, crash %d there", t.n.name, n)
	time.AfterFunc(crashDown, func() {
		if err := t.start(); err != nil {
			t.n.w.rec.note("%s: target not started again: %v", t.n.name, err)
			return
		}
		t.n.w.rec.note("%s: target is back as a new start", t.n.name)
		t.sendBeat()
	})
}

// runs returns copies of the arrivals so far.
func (t *target) runs() []arrival {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]arrival, len(t.arrivals))
	for i, a := range t.arrivals {
		list[i] = *a
	}
	return list
}
