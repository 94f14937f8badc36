package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// playMemory has callers send long bodies, within the limits of the operator's document.
// Like the platform, it ends a daemon that holds more than the memory of its machine.
func playMemory(w *world) verdict {
	w.configure([]string{"bookings", "stockroom"}, []route{
		{Name: "order", Prefix: "/order/", Kind: "unsafe", Timeout: 4000, Goal: 2000, Service: "stockroom", Attempts: 2, Priority: 1},
		{Name: "deposit", Prefix: "/deposit/", Kind: "unsafe", Timeout: 1200, Goal: 400, Service: "bookings", Attempts: 2, Priority: 1},
	})
	for i := range 12 {
		service := "bookings"
		if i < 3 {
			service = "stockroom"
		}
		w.addNode(service, []string{"za", "zb"}[i%2], 50*time.Millisecond)
	}
	if !w.awaitReady() {
		return verdict{}
	}
	time.Sleep(time.Second)
	stop := make(chan struct{})
	var guards sync.WaitGroup
	for _, n := range w.nodes {
		guards.Add(1)
		go func() {
			defer guards.Done()
			n.guardMemory(stop)
		}()
	}
	body := strings.Repeat("x", longBody)
	answers := make(map[string]answer)
	var mu sync.Mutex
	for range memoryRounds {
		if w.rec.since() > memoryTime || w.machinesOver() >= 2 {
			break
		}
		var open sync.WaitGroup
		for _, n := range w.nodes {
			for range longBodies {
				q := request{id: newID(), at: n, method: http.MethodPost, path: "/order/x", body: "short", deadline: 4 * time.Second}
				if w.trouble {
					q.body = body
				}
				open.Add(1)
				go func() {
					defer open.Done()
					a := w.send(q)
					mu.Lock()
					defer mu.Unlock()
					answers[q.id] = a
				}()
			}
		}
		open.Wait()
		time.Sleep(memoryPause)
	}
	close(stop)
	guards.Wait()
	return w.judgeMemory(answers)
}

const (
	memoryLimit  = 284 << 10 // KB, memoryMb of a machine
	memoryPoll   = 2 * time.Millisecond
	memoryRounds = 60
	memoryPause  = 1500 * time.Millisecond
	memoryTime   = 100 * time.Second // no further round begins after it
	memoryEnds   = 3                 // ends of one machine's process that count
	longBody     = 8_300_000
	longBodies   = 4 // at each machine in a round
)

// judgeMemory judges Fault: processes that have ended for their memory, on two machines
// three times each.
func (w *world) judgeMemory(answers map[string]answer) verdict {
	total := 0
	for _, n := range w.nodes {
		n.mu.Lock()
		total += n.overMemory
		w.rec.note("%s: %d times over the memory, at most %d KB", n.name, n.overMemory, n.peak)
		n.mu.Unlock()
	}
	machines, lost := w.machinesOver(), 0
	for id, a := range answers {
		ran := false
		for _, n := range w.nodes {
			for _, x := range n.target.arrivals(id) {
				ran = ran || x.ran
			}
		}
		if ran && a.status != http.StatusOK {
			lost++
		}
	}
	return verdict{machines >= 2, fmt.Sprintf("daemons ended %d times for their memory, %d machines three times or more; %d of %d orders ran and got no answer of their target",
		total, machines, lost, len(answers))}
}

// machinesOver returns the number of machines whose process has ended often enough.
func (w *world) machinesOver() int {
	machines := 0
	for _, n := range w.nodes {
		n.mu.Lock()
		if n.overMemory >= memoryEnds {
			machines++
		}
		n.mu.Unlock()
	}
	return machines
}

// guardMemory kills the daemon each time that it holds more than the machine has, and
// starts it again.
func (n *node) guardMemory(stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(memoryPoll):
		}
		kb := n.memory()
		n.mu.Lock()
		n.peak = max(n.peak, kb)
		over := kb > memoryLimit
		if over {
			n.overMemory++
		}
		n.mu.Unlock()
		if over {
			n.w.rec.note("%s: the daemon holds %d KB, the machine has %d", n.name, kb, memoryLimit)
			n.kill()
			time.Sleep(500 * time.Millisecond)
			n.start()
		}
	}
}

// memory returns the memory that the daemon holds, in KB.
func (n *node) memory() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, err := strconv.Atoi(strings.Fields(rest)[0])
			if err != nil {
				return 0
			}
			return kb
		}
	}
	return 0
}
