package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"trefoilthread/platform/fake"
)

// Figures of the users' pages and of the site.
const (
	graceTime    = 6 * time.Second
	stableWindow = 3 * time.Second
	beatInterval = 1500 * time.Millisecond
	targetSlots  = 12
	connections  = 260
	configKey    = "op/config"
	host         = "ficu95.example"
	healthPath   = "/health"
	storeDelay   = 200 * time.Millisecond // of an answer of the slow store, 50 times the usual
)

// maxPlay bounds the time of a case.
const maxPlay = 116 * time.Second

// world is one deployment.
type world struct {
	rec     *record
	dir     string
	trouble bool
	daemon  string

	store    *fake.Store
	storeSrv *http.Server
	storeAt  string
	nodes    []*node
	version  int

	mu  sync.Mutex
	err error
}

// newWorld starts the store.
func newWorld(rec *record) (*world, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	daemon := os.Getenv("TREFOILD")
	if daemon == "" {
		return nil, errors.New("TREFOILD isn't set")
	}
	w := &world{rec: rec, dir: dir, daemon: daemon, trouble: os.Getenv("TROUBLE") != "0", store: fake.NewStore(fake.Options{Delay: storeDelay})}
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.storeAt = ln.Addr().String()
	w.storeSrv = &http.Server{Handler: w.store, ReadHeaderTimeout: time.Second}
	go func() { _ = w.storeSrv.Serve(ln) }()
	time.AfterFunc(maxPlay, func() {
		w.rec.note("time is over")
		w.close()
		rec.close()
		os.Exit(exitFailed)
	})
	return w, nil
}

// fail records that the case couldn't run.
func (w *world) fail(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.err == nil {
		w.err = err
	}
}

func (w *world) failure() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.err
}

// close ends all processes that the case started.
func (w *world) close() {
	for _, n := range w.nodes {
		n.kill()
		n.target.close()
	}
	_ = w.storeSrv.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	}
}

// route is one route of the operator's document.
type route struct {
	Name     string `json:"name"`
	Prefix   string `json:"pathPrefix"`
	Kind     string `json:"kind"`
	Timeout  int    `json:"timeoutMs"`
	Goal     int    `json:"targetLatencyMs"`
	Priority int    `json:"priority"`
	Service  string `json:"service"`
	Attempts int    `json:"attempts"`
}

// configure writes a version of the operator's document.
func (w *world) configure(services []string, routes []route) {
	w.version++
	var list []map[string]any
	for _, s := range services {
		list = append(list, map[string]any{"name": s, "healthPath": healthPath, "connectionLimit": connections})
	}
	doc, err := json.Marshal(map[string]any{
		"version": "r" + strconv.Itoa(w.version), "services": list,
		"limits": map[string]any{"headerBytes": 16384, "bodyBytes": 67108864, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"hosts":  []any{map[string]any{"host": host, "paths": routes}},
	})
	if err != nil {
		w.fail(err)
		return
	}
	w.store.Put(configKey, doc)
	w.rec.note("operator: config r%d is acknowledged", w.version)
}

// addNode starts a machine with a target and a daemon.
func (w *world) addNode(service, zone string, work time.Duration) *node {
	i := len(w.nodes) + 1
	n := &node{w: w, name: fmt.Sprintf("a%d", i), zone: zone, service: service, ip: fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()%128, 1+os.Getpid()/128%250, i)}
	w.nodes = append(w.nodes, n)
	n.target = newTarget(w.rec, n.ip, service, work)
	n.target.zone = zone
	// Fixed ports below the ephemeral range: no other process uses this IP, and its target has a
	// port of that range.
	n.callers, n.ready, n.control, n.mesh = n.ip+":7001", n.ip+":7002", n.ip+":7003", n.ip+":7004"
	n.settings = filepath.Join(w.dir, n.name+".ini")
	if err := os.WriteFile(n.settings, []byte(n.ini()), 0o600); err != nil {
		w.fail(err)
	}
	n.start()
	n.target.control = n.control
	go n.target.beats()
	return n
}

// awaitReady waits until all daemons are ready.
func (w *world) awaitReady() bool {
	for range 200 {
		ready := 0
		for _, n := range w.nodes {
			if n.isReady() {
				ready++
			}
		}
		if ready == len(w.nodes) {
			w.rec.note("all daemons are ready")
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	w.fail(errors.New("daemons don't become ready"))
	return false
}

// isReady asks the readiness check.
func (n *node) isReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.ready+"/trefoilthread/readiness", nil)
	if err != nil {
		return false
	}
	resp, err := plainClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// plainClient makes calls to the daemons' own interfaces, each on a new connection.
var plainClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
