package agent_test

import (
	"bufio"
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"trefoilthread/core/beat"
	"trefoilthread/core/types"
	"trefoilthread/io/agent"
	"trefoilthread/io/httpw"
	"trefoilthread/io/logs"
	"trefoilthread/io/mesh"
)

// refusedSeed is changed by hand to play other calls and faults:
//
//	go test ./io/agent -run TestRefusedCallsNeverRun -refused.seed 7
var refusedSeed = flag.Uint64("refused.seed", 1, "seed of the calls and the target")

const (
	refusedCallers = 24
	refusedSlots   = 6
	longestRun     = 4 * time.Millisecond
	patience       = 20 * time.Second
	// enoughOfEach is the number of calls of each end after which the test may pass.
	enoughOfEach = 25
)

// flakyTarget runs requests, refuses them or breaks their connections, at random.
type flakyTarget struct {
	ln net.Listener

	mu   sync.Mutex
	rng  *rand.Rand
	came map[string]bool // by request id
	ran  map[string]int
}

func newFlakyTarget(t *testing.T, seed uint64) *flakyTarget {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	m := &flakyTarget{ln: ln, rng: rand.New(rand.NewPCG(seed, 0)), came: make(map[string]bool), ran: make(map[string]int)}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go m.serve(c)
		}
	}()
	t.Cleanup(func() { _ = ln.Close() })
	return m
}

func (m *flakyTarget) draw(n int) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.rng.IntN(n)
}

func (m *flakyTarget) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	var late *httpw.Response // copy of an earlier response
	for {
		req, err := httpw.ReadRequest(br, httpw.Limits{HeaderBytes: 4096, BodyBytes: 4096})
		if err != nil {
			return
		}
		id := req.Header.Get("Id")
		mood := m.draw(12)
		m.mu.Lock()
		m.came[id] = true
		if mood > 2 {
			m.ran[id]++
		}
		m.mu.Unlock()
		time.Sleep(time.Duration(m.draw(int(longestRun))))
		resp := &httpw.Response{Status: 200, Header: httpw.Header{{Name: "Id", Value: id}}}
		switch mood {
		case 0, 1, 2:
			resp = &httpw.Response{Status: 503, Header: httpw.Header{{Name: "Id", Value: id}, {Name: "Not-Run", Value: "1"}}}
		case 3:
			return
		}
		if late != nil && mood%2 == 0 {
			if _, err := c.Write(httpw.AppendResponse(nil, late, req.Method)); err != nil {
				return
			}
		}
		if _, err := c.Write(httpw.AppendResponse(nil, resp, req.Method)); err != nil {
			return
		}
		late = resp
	}
}

// flakyWire converts the messages of a flakyTarget.
func flakyWire() agent.Wire {
	return agent.Wire{
		TargetRequest: func(call *mesh.CallHead, _ time.Duration) *httpw.Request {
			return &httpw.Request{Method: call.Method, Target: call.Path, Header: httpw.Header{{Name: "Id", Value: call.ID}}, Body: call.Body}
		},
		HealthRequest: func(path string) *httpw.Request { return &httpw.Request{Method: "GET", Target: path} },
		ReadHealth:    func(*httpw.Response) agent.HealthInfo { return agent.HealthInfo{Target: "t1"} },
		Belongs: func(req *httpw.Request, resp *httpw.Response) bool {
			return req.Header.Get("Id") == resp.Header.Get("Id")
		},
		ReadResponseInfo: func(resp *httpw.Response) agent.ResponseInfo {
			_, notRun := resp.Header.Lookup("Not-Run")
			return agent.ResponseInfo{ID: resp.Header.Get("Id"), NotRun: notRun, Valid: !notRun}
		},
		ReadRequestInfo: func(req *httpw.Request) (agent.RequestInfo, bool) {
			return agent.RequestInfo{ID: req.Header.Get("Id")}, true
		},
	}
}

// change changes the state, the slots and the start of the target until done is closed.
func (m *flakyTarget) change(a *agent.Agent, rng *rand.Rand, done <-chan struct{}) {
	x := beat.Announcement{ID: "t1", Born: 1, Service: "bookings", Address: m.ln.Addr().String(), Slots: refusedSlots}
	for {
		x.Sequence++
		x.Draining = rng.IntN(8) == 0
		x.Slots = 1 + rng.IntN(refusedSlots)
		if rng.IntN(4) == 0 {
			x.Born++
			x.ID, x.Sequence = types.TargetID(fmt.Sprint("t", x.Born)), 1
		}
		agent.AnnounceTarget(a, x)
		select {
		case <-done:
			return
		case <-time.After(time.Duration(rng.IntN(int(2 * longestRun)))):
		}
	}
}

// Guards against a call that an agent refuses and that runs all the same, also later, and
// against a slot that is never free again.
func TestRefusedCallsNeverRun(t *testing.T) {
	m := newFlakyTarget(t, *refusedSeed)
	a := agent.New(agent.Options{
		Settings: agent.Settings{Node: "self", DataCentre: "kl", Mesh: "10.0.0.1:7000"}, Wire: flakyWire(),
		Log: logs.Discard(), Clock: clockwork.NewRealClock(), Scope: tally.NoopScope,
	})
	done := make(chan struct{})
	var changes, callers sync.WaitGroup
	changes.Go(func() { m.change(a, rand.New(rand.NewPCG(*refusedSeed, 1)), done) })
	book := &refusedBook{refusals: make(map[string]bool), ends: make(map[callEnd]int)}
	end := time.Now().Add(patience)
	for i := range refusedCallers {
		rng := rand.New(rand.NewPCG(*refusedSeed, uint64(i)+2))
		callers.Go(func() {
			for n := 0; !book.isEnough() && time.Now().Before(end); n++ {
				id := fmt.Sprintf("%d-%d", i, n)
				ctx, cancel := context.WithTimeout(context.Background(), time.Duration(rng.IntN(int(10*longestRun))))
				book.record(id, agent.Serve(ctx, a, &mesh.CallHead{
					ID: id, Service: "bookings", Target: "t1", Method: "POST", Path: "/" + id,
					RemainingMs: rng.Int64N(60), GoalMs: 10 + rng.Int64N(60), Worth: float64(1 + rng.IntN(3)),
					AtMostOnce: rng.IntN(3) > 0, Prompt: rng.IntN(3) == 0,
				}))
				cancel()
				time.Sleep(time.Duration(rng.IntN(int(longestRun))))
			}
		})
	}
	callers.Wait()
	close(done)
	changes.Wait()
	for end := time.Now().Add(patience); !agent.IsTargetIdle(a); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("seed %d: calls have ended and slots are taken", *refusedSeed)
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for id, reached := range book.refusals {
		if m.ran[id] > 0 || m.came[id] && !reached {
			t.Errorf("seed %d: call %s was refused, reached %v; came to the target %v, ran %d times", *refusedSeed, id, reached, m.came[id], m.ran[id])
		}
	}
	t.Logf("%v", book.ends)
	if !book.isEnough() {
		t.Errorf("calls by end %v: want %d of each", book.ends, enoughOfEach)
	}
}

// callEnd is a way in which a call ends.
type callEnd string

const (
	endAnswered callEnd = "answered"
	endBroken   callEnd = "broken"
	endExpired  callEnd = "expired"
	endDeclined callEnd = "refused by the target"
	endLeft     callEnd = "refused as the caller left"
	endRefused  callEnd = "refused by the gate"
)

// refusedBook records how calls end.
type refusedBook struct {
	mu       sync.Mutex
	refusals map[string]bool // by request id: the target was reached
	ends     map[callEnd]int
}

func (b *refusedBook) record(id string, ans *mesh.Answer) {
	b.mu.Lock()
	defer b.mu.Unlock()
	end := map[mesh.Result]callEnd{
		mesh.Answered: endAnswered, mesh.Broken: endBroken, mesh.Expired: endExpired, mesh.Refused: endRefused,
	}[ans.Result]
	switch {
	case end != endRefused:
	case ans.Reached:
		end = endDeclined
	case strings.HasPrefix(ans.Reason, "caller left"):
		end = endLeft
	}
	b.ends[end]++
	if ans.Result == mesh.Refused {
		b.refusals[id] = ans.Reached
	}
}

// isEnough reports whether each end was seen often enough.
func (b *refusedBook) isEnough() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, e := range []callEnd{endAnswered, endBroken, endExpired, endDeclined, endLeft, endRefused} {
		if b.ends[e] < enoughOfEach {
			return false
		}
	}
	return true
}
