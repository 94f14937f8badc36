package mesh_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"

	"trefoilthread/io/mesh"
)

// unreachableSeed is changed by hand to play other faults:
//
//	go test ./io/mesh -run TestUnreachableCallsAreNeverServed -unreachable.seed 7
var unreachableSeed = flag.Uint64("unreachable.seed", 1, "seed of the faults between client and server")

const (
	faultyCallers = 24
	// maxFaultyBody bounds the bodies of the calls in bytes. Calls with longer ones have a
	// connection of their own.
	maxFaultyBody = 32 << 10
	// enoughOfEach is the number of calls of each end after which the test may pass.
	enoughOfEach = 100
	// faultAfter is the largest number of bytes after which a connection fails.
	faultAfter = 256 << 10
	// longestHold is the longest time for which a connection keeps bytes to itself.
	longestHold = 40 * time.Millisecond
)

// faultyLink passes connections on to a server. After a random number of bytes each is
// reset or closed towards the client, often after it has held bytes back for a while. What
// was read from the client still reaches the server, also after the client has given up.
type faultyLink struct {
	ln   net.Listener
	addr string // of the server

	mu    sync.Mutex
	rng   *rand.Rand
	open  map[net.Conn]bool
	ended bool
	work  sync.WaitGroup
}

func newFaultyLink(t *testing.T, addr string, seed uint64) *faultyLink {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &faultyLink{ln: ln, addr: addr, rng: rand.New(rand.NewPCG(seed, 0)), open: make(map[net.Conn]bool)}
	f.work.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			f.work.Go(func() { f.serve(c.(*net.TCPConn)) })
		}
	})
	return f
}

// close ends all connections and returns when the server has read all bytes.
func (f *faultyLink) close() {
	_ = f.ln.Close()
	f.mu.Lock()
	f.ended = true
	for c := range f.open {
		_ = c.Close()
	}
	f.mu.Unlock()
	f.work.Wait()
}

func (f *faultyLink) draw(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rng.IntN(n)
}

func (f *faultyLink) serve(near *net.TCPConn) {
	f.mu.Lock()
	f.open[near] = true
	ended := f.ended
	f.mu.Unlock()
	defer func() {
		_ = near.Close()
		f.mu.Lock()
		delete(f.open, near)
		f.mu.Unlock()
	}()
	if ended {
		return
	}
	far, err := net.Dial("tcp4", f.addr)
	if err != nil {
		return
	}
	f.work.Go(func() {
		_, _ = io.Copy(near, far)
		_ = near.Close()
		_, _ = io.Copy(io.Discard, far) // ends when the server has read all
		_ = far.Close()
	})
	defer func() { _ = far.(*net.TCPConn).CloseWrite() }()
	buf := make([]byte, 4<<10)
	for left := f.draw(faultAfter); ; {
		n, err := near.Read(buf)
		if err != nil {
			return
		}
		if left -= n; left > 0 {
			if _, err := far.Write(buf[:n]); err != nil {
				return
			}
			continue
		}
		fault := f.draw(4)
		if fault == 0 { // the client gives up first
			time.Sleep(longestHold)
		} else if fault == 1 {
			time.Sleep(time.Duration(f.draw(int(longestHold))))
		}
		if fault != 2 {
			_ = near.SetLinger(0)
		}
		_ = near.Close()
		_, _ = far.Write(buf[:n])
		return
	}
}

// callEnds holds how calls ended and which ones were served.
type callEnds struct {
	mu          sync.Mutex
	served      map[string]int
	unreachable []string
	broken      int
	answered    int
}

func (e *callEnds) serve(_ context.Context, _ mesh.Hello, head *mesh.CallHead) *mesh.Answer {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.served[head.ID]++
	return &mesh.Answer{Status: 200, Body: []byte(head.ID)}
}

func (e *callEnds) record(id string, ans *mesh.Answer, err error) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case errors.Is(err, mesh.ErrUnreachable):
		e.unreachable = append(e.unreachable, id)
	case errors.Is(err, mesh.ErrBroken):
		e.broken++
	case err == nil && string(ans.Body) != id:
		return fmt.Errorf("call %s got the answer to %s", id, ans.Body)
	case err == nil:
		e.answered++
	}
	return nil
}

// isEnough reports whether each end was seen often enough.
func (e *callEnds) isEnough() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return min(len(e.unreachable), e.broken, e.answered) >= enoughOfEach
}

// Guards against a call that ends with ErrUnreachable, the proof that it never runs, and that
// the peer serves all the same, also later.
func TestUnreachableCallsAreNeverServed(t *testing.T) {
	ends := &callEnds{served: make(map[string]int)}
	s, addr := serve(t, ends.serve)
	f := newFaultyLink(t, addr, *unreachableSeed)
	c := client(t, mesh.ClientOptions{Silence: 15 * time.Millisecond})
	end := time.Now().Add(4 * patience)
	var callers sync.WaitGroup
	for i := range faultyCallers {
		rng := rand.New(rand.NewPCG(*unreachableSeed, uint64(i)+1))
		callers.Go(func() {
			for n := 0; !ends.isEnough() && time.Now().Before(end); n++ {
				id := fmt.Sprintf("%d-%d", i, n)
				ctx, cancel := context.WithTimeout(context.Background(), time.Duration(rng.IntN(int(2*longestHold))))
				ans, err := c.Call(ctx, f.ln.Addr().String(), &mesh.CallHead{ID: id, Body: make([]byte, rng.IntN(maxFaultyBody))})
				cancel()
				if err := ends.record(id, ans, err); err != nil {
					t.Error(err)
				}
			}
		})
	}
	callers.Wait()
	c.Close()
	f.close()
	s.Drain(bounded(t))
	if !ends.isEnough() {
		t.Errorf("%d calls unreachable, %d broken, %d answered: want %d of each", len(ends.unreachable), ends.broken, ends.answered, enoughOfEach)
	}
	for _, id := range ends.unreachable {
		if ends.served[id] > 0 {
			t.Errorf("seed %d: call %s was reported as not sent and has been served", *unreachableSeed, id)
		}
	}
	for id, n := range ends.served {
		if n > 1 {
			t.Errorf("seed %d: call %s was served %d times", *unreachableSeed, id, n)
		}
	}
	t.Logf("%d calls unreachable, %d broken, %d answered, %d served", len(ends.unreachable), ends.broken, ends.answered, len(ends.served))
}
