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
	// slowHealth is the time of a health check, 6 ms, at a target that is slow by a factor of 12.
	slowHealth = 72 * time.Millisecond
	// crashPath begins the paths of requests that crash each target that runs them.
	crashPath = "/crash/"
	// crashAfter is the time that such a request runs before.
	crashAfter = 20 * time.Millisecond
)

// arrival is a request that reached a target.
type arrival struct {
	id, path, caller string
	at               time.Duration // since the start of the case
	ended            bool          // the run has ended with an answer
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
	isLeft   bool // it has sent its last message
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
	t.sequence, t.isLeft = 0, false
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

// replace ends the target and starts one of another service in its place.
func (t *target) replace(service string) error {
	t.exit()
	t.mu.Lock()
	t.service = service
	t.mu.Unlock()
	return t.start()
}

// beat sends heartbeats until the target leaves.
func (t *target) beat() {
	for t.sendBeat() {
		time.Sleep(heartbeatPeriod)
	}
}

// sendBeat sends a heartbeat if the target runs. It returns false if it has left.
func (t *target) sendBeat() bool {
	t.mu.Lock()
	isUp, isLeft := t.web != nil, t.isLeft
	t.sequence++
	id, doc := t.id, t.beatDoc()
	t.mu.Unlock()
	if isUp && !isLeft {
		_, _ = t.tell("Instances.Heartbeat/"+id, doc) // the next one follows
	}
	return !isLeft
}

// delayBeat takes the next heartbeat, as it is now, and returns a function that delivers it.
func (t *target) delayBeat() func() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sequence++
	id, doc := t.id, t.beatDoc()
	t.n.w.rec.note("%s: target %s sends heartbeat %d (ready), which is delayed", t.n.name, id, t.sequence)
	return func() {
		status, err := t.tell("Instances.Heartbeat/"+id, doc)
		t.n.w.rec.note("%s: the delayed heartbeat arrives, status %d, error %v", t.n.name, status, err)
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

// leave sends the last message, and reports whether it was acknowledged.
func (t *target) leave() bool {
	t.mu.Lock()
	t.isLeft = true
	id, born := t.id, t.born
	t.mu.Unlock()
	status, err := t.tell("Instances.Leave/"+id, map[string]any{"born": born})
	t.n.w.rec.note("%s: target %s sent Instances.Leave, status %d, error %v", t.n.name, id, status, err)
	return err == nil && status == http.StatusOK
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
	id, isLeft := t.id, t.isLeft
	t.mu.Unlock()
	w.Header().Set("Server-Load", fmt.Sprintf("0,0,%d,100", slots))
	if isLeft && t.n.w.saysLeaving {
		w.Header().Set("Server-Leaving", "1")
	}
	if r.URL.Path == healthPath {
		w.Header().Set("Instance-Id", id)
		if isLeft && t.n.w.isSlow {
			time.Sleep(slowHealth)
		}
		if isLeft {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
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

// run runs a request, whose path ends with the milliseconds of work.
func (t *target) run(w http.ResponseWriter, r *http.Request, id string) {
	a := &arrival{id: r.Header.Get("Attempt-Id"), path: r.URL.Path, caller: r.Header.Get("Calling-Service"), at: t.n.w.rec.since()}
	t.mu.Lock()
	t.arrivals = append(t.arrivals, a)
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
		t.n.w.rec.note("%s: target %s: connection of %s ended during its run", t.n.name, id, a.id)
		return
	}
	t.mu.Lock()
	a.ended = true
	t.mu.Unlock()
	w.Header().Set("Response-Signature", "3e1b.07.5a2.600.0.c9f2a4d1")
	_, _ = io.WriteString(w, "done "+a.id) // the daemon may have gone
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
