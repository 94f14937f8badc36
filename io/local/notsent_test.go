package local_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"trefoilthread/io/httpw"
	"trefoilthread/io/local"
)

// notSentSeed is changed by hand to play other faults:
//
//	go test ./io/local -run TestNotSentRequestsNeverArrive -notsent.seed 7
var notSentSeed = flag.Uint64("notsent.seed", 1, "seed of the target's faults")

const (
	notSentCallers = 16
	notSentCalls   = 120
	// longestReply is the longest time that the target takes for a response.
	longestReply = 3 * time.Millisecond
)

// faultyTarget answers requests and resets, closes or silences connections at random. It
// notes each byte that it has read.
type faultyTarget struct {
	mu   sync.Mutex
	rng  *rand.Rand
	read bytes.Buffer // of all connections that have ended
	work sync.WaitGroup
}

func (f *faultyTarget) draw(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rng.IntN(n)
}

func (f *faultyTarget) serve(c *net.TCPConn) {
	var seen bytes.Buffer
	defer func() {
		// What is still on its way has been sent as well.
		_ = c.SetReadDeadline(time.Now().Add(longestReply))
		_, _ = io.Copy(&seen, c)
		_ = c.Close()
		f.mu.Lock()
		defer f.mu.Unlock()
		f.read.Write(seen.Bytes())
		f.read.WriteByte('\n')
	}()
	if f.draw(6) == 0 {
		f.end(c) // before the first request
		return
	}
	br := bufio.NewReader(io.TeeReader(c, &seen))
	for {
		req, err := httpw.ReadRequest(br, limits)
		if err != nil {
			return
		}
		time.Sleep(time.Duration(f.draw(int(longestReply))))
		fault := f.draw(8)
		if fault == 0 {
			f.end(c)
			return
		}
		answer(c, req.Header.Get("Id"), "ok")
		if fault == 1 { // a kept connection
			time.Sleep(time.Duration(f.draw(int(longestReply))))
			f.end(c)
			return
		}
	}
}

// end resets a connection, or ends its sending side.
func (f *faultyTarget) end(c *net.TCPConn) {
	if f.draw(2) == 0 {
		_ = c.CloseWrite()
		return
	}
	_ = c.SetLinger(0)
}

// Guards against a request that ends with ErrNotSent, the proof that it never runs, and that
// the target reads all the same.
func TestNotSentRequestsNeverArrive(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &faultyTarget{rng: rand.New(rand.NewPCG(*notSentSeed, 0))}
	f.work.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			f.work.Go(func() { f.serve(c.(*net.TCPConn)) })
		}
	})
	c := local.New(ln.Addr().String(), local.Options{
		Clock: clockwork.NewRealClock(), Limits: limits,
		Belongs: func(req *httpw.Request, resp *httpw.Response) bool {
			return resp.Header.Get("Id") == req.Header.Get("Id")
		},
	})
	var mu sync.Mutex
	var notSent []string
	var others, answered int
	var callers sync.WaitGroup
	for i := range notSentCallers {
		rng := rand.New(rand.NewPCG(*notSentSeed, uint64(i)+1))
		callers.Go(func() {
			for n := range notSentCalls {
				if rng.IntN(64) == 0 {
					c.SetAddr("127.0.0.1:1") // reserved for tcpmux
				} else if rng.IntN(8) == 0 {
					c.SetAddr(ln.Addr().String())
				}
				id := fmt.Sprintf("%d-%d", i, n)
				ctx, cancel := context.WithTimeout(context.Background(), time.Duration(rng.IntN(int(3*longestReply))))
				_, err := c.Do(ctx, &httpw.Request{
					Method: "POST", Target: "/", Header: httpw.Header{{Name: "Id", Value: id}},
					Body: make([]byte, rng.IntN(2)*rng.IntN(24<<10)),
				})
				cancel()
				mu.Lock()
				switch {
				case errors.Is(err, local.ErrNotSent):
					notSent = append(notSent, id)
				case err != nil:
					others++
				default:
					answered++
				}
				mu.Unlock()
			}
		})
	}
	callers.Wait()
	c.Flush()
	_ = ln.Close()
	f.work.Wait()
	read := f.read.String()
	for _, id := range notSent {
		if strings.Contains(read, "Id: "+id+"\r\n") {
			t.Errorf("seed %d: request %s was reported as not sent and has been read", *notSentSeed, id)
		}
	}
	if min(len(notSent), others, answered) == 0 {
		t.Errorf("%d requests not sent, %d ended otherwise, %d answered: want some of each", len(notSent), others, answered)
	}
	t.Logf("%d requests not sent, %d ended otherwise, %d answered", len(notSent), others, answered)
}
