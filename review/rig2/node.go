package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// node is a machine: the daemon as a process of its own, and its target.
type node struct {
	w       *world
	name    string
	ip      string
	service string
	file    string // settings
	target  *target

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{} // closed when the process has ended
}

// settings is deploy/agent.ini, filled in.
const settings = `[node]
name = %s
dataCentre = kl-sentral
service = %s
target = %s
link = 1000

[regions]
kl-sentral = semenanjung

[listen]
callers = %[4]s:7001
ready = %[4]s:7002
control = %[4]s:7003
mesh = %[4]s:7004
metrics = %[4]s:9464

[store]
address = %[5]s

[bounds]
stopTime = 6s
retryShare = 0.2
retryExtra = 64
retryWindow = 10s
probesPerSecond = 60
`

func newNode(w *world, i int, service string) (*node, error) {
	n := &node{w: w, name: fmt.Sprintf("sidecar-kl-sentral-%d", i), ip: fmt.Sprintf("%s.%d", w.net, i), service: service}
	n.file = filepath.Join(w.dir, n.name+".ini")
	t, err := newTarget(n, service)
	if err != nil {
		return nil, err
	}
	n.target = t
	return n, n.writeSettings(service)
}

// writeSettings fills in the settings file, with a service.
func (n *node) writeSettings(service string) error {
	text := fmt.Sprintf(settings, n.name, service, n.target.addr, n.ip, n.w.addr)
	return os.WriteFile(n.file, []byte(text), 0o600)
}

// start starts the daemon with the command of the deploy file.
func (n *node) start() error {
	out, err := os.OpenFile(n.file+".log", os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.CommandContext(context.Background(), "target/trefoild", "run")
	cmd.Env = append(os.Environ(), "TREFOILTHREAD_NODE_FILE="+n.file)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	n.mu.Lock()
	n.cmd, n.done = cmd, done
	n.mu.Unlock()
	n.w.rec.note("%s: daemon started", n.name)
	go func() {
		_ = cmd.Wait() // killed
		_ = out.Close()
		close(done)
	}()
	return nil
}

// kill ends the daemon with SIGKILL.
func (n *node) kill() {
	n.mu.Lock()
	cmd, done := n.cmd, n.done
	n.cmd = nil
	n.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill() // it may have ended
	<-done
	n.w.rec.note("%s: daemon killed", n.name)
}

// awaitReady waits until the readiness check of the daemon succeeds.
func (n *node) awaitReady(most time.Duration) error {
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(most); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get("http://" + n.ip + ":7002/trefoilthread/readiness")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return errors.New(n.name + " isn't ready")
}
