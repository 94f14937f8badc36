package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
)

// node is a machine: a target and the daemon beside it.
type node struct {
	w       *world
	name    string
	zone    string
	service string
	ip      string
	target  *target

	callers, ready, control, mesh string
	settings                      string

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

// ini returns the settings, filled in as by the platform.
func (n *node) ini() string {
	return fmt.Sprintf(`[node]
name = %s
dataCentre = %s
service = %s
target = %s
link = 1000

[regions]
za = r
zb = r

[listen]
callers = %s
ready = %s
control = %s
mesh = %s

[store]
address = %s

[bounds]
stopTime = 6s
retryShare = 0.2
retryExtra = 64
retryWindow = 10s
probesPerSecond = 60
`, n.name, n.zone, n.service, n.target.addr, n.callers, n.ready, n.control, n.mesh, n.w.storeAt)
}

// start starts the daemon with the command of the deploy file.
func (n *node) start() {
	n.mu.Lock()
	defer n.mu.Unlock()
	out, err := os.OpenFile(filepath.Join(n.w.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		n.w.fail(err)
		return
	}
	cmd := exec.Command(n.w.daemon, "run")
	// A machine of the platform has one core, and passes on few variables.
	cmd.Env = []string{
		"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"),
		"GOMAXPROCS=1", "TREFOILTHREAD_NODE_FILE=" + n.settings,
	}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		n.w.fail(err)
		return
	}
	done := make(chan struct{})
	n.cmd, n.done = cmd, done
	n.w.rec.note("%s: daemon started beside a target of %s", n.name, n.service)
	go func() {
		err := cmd.Wait()
		n.w.rec.note("%s: daemon ended: %v", n.name, err)
		_ = out.Close()
		close(done)
	}()
}

// signal sends a signal to the daemon.
func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd == nil {
		return
	}
	n.w.rec.note("%s: signal to the daemon: %v", n.name, s)
	if err := n.cmd.Process.Signal(s); err != nil {
		n.w.rec.note("%s: signal: %v", n.name, err)
	}
}

// kill ends the daemon and waits for that.
func (n *node) kill() {
	n.mu.Lock()
	cmd, done := n.cmd, n.done
	n.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill() // it may have ended
	<-done
}
