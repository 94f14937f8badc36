package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"trefoilthread/platform/fake"
)

// Bounds of tiram-hq that the case uses.
const (
	stableWindow    = 3 * time.Second
	heartbeatPeriod = 1500 * time.Millisecond
)

// world is a small deployment: a store, and daemons with their targets.
type world struct {
	dir   string // of settings and logs, removed at the end
	rec   *record
	net   string // first three numbers of the loopback addresses
	store *fake.Store
	web   *http.Server // of the store
	addr  string       // of the store
	nodes []*node
}

func newWorld(dir string) (*world, error) {
	tmp, err := os.MkdirTemp("", "rig2-")
	if err != nil {
		return nil, err
	}
	rec, err := newRecord(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	w := &world{
		dir: tmp, rec: rec, store: fake.NewStore(fake.Options{}),
		net: fmt.Sprintf("127.%d.%d", 2+rand.IntN(240), rand.IntN(250)),
	}
	ln, err := net.Listen("tcp4", w.net+".250:0")
	if err != nil {
		return nil, err
	}
	w.addr = ln.Addr().String()
	w.web = &http.Server{Handler: w.store}
	go func() { _ = w.web.Serve(ln) }() // ends with close
	return w, nil
}

// close ends all processes and removes the temporary folder.
func (w *world) close() {
	for _, n := range w.nodes {
		n.kill()
		n.target.exit()
	}
	_ = w.web.Close()
	_ = os.RemoveAll(w.dir)
	w.rec.close()
}

// configure writes the operator's first configuration.
func (w *world) configure(doc string) {
	w.store.Put("op/config", []byte(doc))
	w.rec.note("operator: configuration written and acknowledged")
}

// startNodes starts a daemon and a target for each service named.
func (w *world) startNodes(services ...string) error {
	for i, s := range services {
		n, err := newNode(w, i+1, s)
		if err != nil {
			return err
		}
		w.nodes = append(w.nodes, n)
	}
	for _, n := range w.nodes {
		if err := n.start(); err != nil {
			return err
		}
		go n.target.beat()
	}
	for _, n := range w.nodes {
		if err := n.awaitReady(10 * time.Second); err != nil {
			return err
		}
	}
	w.rec.note("all daemons are ready")
	return nil
}

// waitUntil sleeps until a time since the start of the case.
func (w *world) waitUntil(at time.Duration) { time.Sleep(at - w.rec.since()) }
