package agent_test

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"trefoilthread/core/beat"
	"trefoilthread/io/agent"
	"trefoilthread/io/httpw"
	"trefoilthread/io/mesh"
)

// serveLong answers each request on a connection with n header lines, and counts the requests.
func serveLong(c net.Conn, n, count *atomic.Int64) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for {
		req, err := httpw.ReadRequest(br, httpw.Limits{HeaderBytes: 4096, BodyBytes: 4096})
		if err != nil {
			return
		}
		count.Add(1)
		_, err = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\n%sContent-Length: 0\r\n\r\n", req.Header.Get("Id"), strings.Repeat("A: b\r\n", int(n.Load())))
		if err != nil {
			return
		}
	}
}

// Guards against the only target of a service that gets all calls though none of its responses
// is within the bounds, against calls that count as not run and reached it, and against one that
// gets no calls any more after that.
func TestTargetPausesAfterLongResponses(t *testing.T) {
	const endless = 50_000
	is := is.New(t)
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = ln.Close() }()
	var lines, count, logged atomic.Int64
	go func() {
		for c, err := ln.Accept(); err == nil; c, err = ln.Accept() {
			go serveLong(c, &lines, &count)
		}
	}()
	clock, scope := clockwork.NewFakeClockAt(time.Now()), tally.NewTestScope("", nil)
	a := agent.New(agent.Options{
		Settings: agent.Settings{Node: "self", DataCentre: "kl", Mesh: "10.0.0.1:7000"}, Wire: flakyWire(), Clock: clock, Scope: scope,
		Log: &log.Logger{Level: log.InfoLevel, Handler: log.HandlerFunc(func(e *log.Entry) error {
			if e.Message == "target gets no calls, its responses are too long" {
				logged.Add(1)
			}
			return nil
		})},
	})
	agent.AnnounceTarget(a, beat.Announcement{ID: "t1", Born: 1, Sequence: 1, Service: "bookings", Slots: 9, Address: ln.Addr().String()})
	call := func() *mesh.Answer {
		return agent.Serve(t.Context(), a, &mesh.CallHead{
			ID: "x", Service: "bookings", Target: "t1", Method: "POST", Path: "/x", RemainingMs: 5000, GoalMs: 5000, AtMostOnce: true,
		})
	}
	lines.Store(endless)
	is.Equal(call().Result, mesh.Broken)
	lines.Store(0)
	is.Equal(call().Result, mesh.Answered) // a single one shuts nothing out
	lines.Store(endless)
	for range 3 {
		is.Equal(call().Result, mesh.Broken)
	}
	for want := range 3 {
		reached := count.Load()
		ans := call()
		is.Equal(ans.Result, mesh.Refused)
		is.True(ans.RetryMs == 200<<want)
		is.Equal(count.Load(), reached)
		is.Equal(logged.Load(), int64(want+1))
		clock.Advance(ans.Retry())
		is.Equal(call().Result, mesh.Broken) // a trial
	}
	lines.Store(0)
	clock.Advance(call().Retry())
	for range 2 {
		is.Equal(call().Result, mesh.Answered)
	}
	counters := scope.Snapshot().Counters()
	is.Equal(counters["calls_refused_paused+"].Value(), int64(4))
	is.Equal(counters["pause_changes+"].Value(), int64(5)) // four times longer, and the end
}
