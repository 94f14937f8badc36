package agent_test

import (
	"bufio"
	"context"
	"net"
	"strings"
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

// longUpload is the length in bytes of a body that doesn't fit the sockets' buffers.
const longUpload = 16 << 20

// troubledTarget answers each connection with bytes before it reads a body, and closes it when
// they are sent unless it stays. It returns its address.
func troubledTarget(t *testing.T, bytes string, stays bool) string {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	t.Cleanup(func() {
		close(done)
		_ = ln.Close()
	})
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				if _, err := httpw.ReadRequestHead(bufio.NewReader(c), httpw.Limits{HeaderBytes: 1 << 10, BodyBytes: longUpload}); err != nil {
					return
				}
				_, _ = c.Write([]byte(bytes)) // until the agent closes the connection
				if stays {
					<-done
				}
			}()
		}
	}()
	return ln.Addr().String()
}

// newLogged returns an agent whose lines with a message are sent to the channel.
func newLogged(message string, scope tally.Scope) (*agent.Agent, <-chan *log.Entry) {
	lines := make(chan *log.Entry, 99)
	return agent.New(agent.Options{
		Settings: agent.Settings{Node: "self", DataCentre: "kl", Mesh: "10.0.0.1:7000"}, Wire: flakyWire(),
		Clock: clockwork.NewRealClock(), Scope: scope,
		Log: &log.Logger{Level: log.InfoLevel, Handler: log.HandlerFunc(func(e *log.Entry) error {
			if e.Message == message {
				lines <- e
			}
			return nil
		})},
	}), lines
}

// Guards against a target in trouble whose kind of trouble nobody can tell from the log and
// the counters: each line has the request, the target, the part that broke off and its bytes.
func TestBrokenResponsesAreLoggedAndCountedByPart(t *testing.T) {
	const (
		ok      = "HTTP/1.1 200 OK\r\n"
		chunked = ok + "Transfer-Encoding: chunked\r\n\r\n"
		never   = time.Minute
		soon    = 200 * time.Millisecond
	)
	for name, c := range map[string]struct {
		bytes  string
		stays  bool
		left   time.Duration // until the deadline of the call
		result string
		part   string
		read   int64 // least number of bytes
		upload int   // length of the request's body
	}{
		"head":    {bytes: ok + strings.Repeat("A: b\r\n", 20_000), left: never, result: "broken", part: "head", read: 64 << 10},
		"interim": {bytes: strings.Repeat("HTTP/1.1 103 X\r\n\r\n", 99), left: never, result: "broken", part: "interim", read: 9 * 18},
		"chunk":   {bytes: chunked + strings.Repeat("0", 9999), left: never, result: "broken", part: "chunk", read: 1 << 10},
		"trailer": {bytes: chunked + "0\r\n" + strings.Repeat("A: b\r\n", 9999), left: never, result: "broken", part: "trailer", read: 16 << 10},
		"body":    {bytes: ok + "Content-Length: 99999999999\r\n\r\nabc", left: never, result: "broken", part: "body"},
		"memory":  {bytes: ok + "\r\n" + strings.Repeat("x", 300_000), left: never, result: "broken", part: "memory", read: 32 << 10},
		"cut":     {bytes: ok + "Content-Length: 5\r\n\r\nabc", left: never, result: "broken", part: "body", read: 3},
		"other":   {bytes: strings.Repeat(ok+"Id: x\r\nContent-Length: 0\r\n\r\n", 9), left: never, result: "broken", part: "other"},
		"upload":  {bytes: ok + "Id: r7\r\n\r\npart", upload: longUpload, left: never, result: "broken", part: "body"},
		"status":  {bytes: "HTTP/1.1 600 X\r\n\r\n", left: never, result: "broken", part: "head", read: 16},
		"name":    {bytes: ok + "A : b\r\n\r\n", left: never, result: "broken", part: "head", read: 24},
		"slow":    {bytes: ok + "A: ", stays: true, left: soon, result: "expired", part: "head"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			scope := tally.NewTestScope("", nil)
			a, lines := newLogged("call ended", scope)
			agent.AnnounceTarget(a, beat.Announcement{
				ID: "t1", Born: 1, Sequence: 1, Service: "bookings", Slots: 9, Address: troubledTarget(t, c.bytes, c.stays),
			})
			ctx, cancel := context.WithTimeout(t.Context(), patience)
			defer cancel()
			agent.Serve(ctx, a, &mesh.CallHead{
				ID: "r7", Service: "bookings", Target: "t1", Method: "GET", Path: "/", Body: make([]byte, c.upload),
				RemainingMs: c.left.Milliseconds(), GoalMs: c.left.Milliseconds(),
			})
			is.Equal(len(lines), 1)
			line := (<-lines).Fields
			is.Equal(line.Get("request"), "r7")
			is.Equal(line.Get("target"), "t1")
			is.Equal(line.Get("result"), c.result)
			is.Equal(line.Get("part"), c.part)
			read, _ := line.Get("readBytes").(int64)
			is.True(read >= c.read)
			counted, isCounted := scope.Snapshot().Counters()["responses_broken+part="+c.part]
			is.Equal(isCounted, c.result == "broken")
			if isCounted {
				is.Equal(counted.Value(), int64(1))
			}
		})
	}
}

// Guards against a health check whose response ends early or isn't valid, and of which neither
// the log nor the counter tells, and against lines for a target that restarts or is slow.
func TestBrokenHealthChecksAreLoggedAndCountedByPart(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	for name, c := range map[string]struct {
		bytes string
		stays bool
		part  string // "" for no line
	}{
		"status":       {bytes: "HTTP/1.1 000 X\r\n\r\n", part: "head"},
		"folded line":  {bytes: ok + "A: b\r\n c\r\n\r\n", part: "head"},
		"cut head":     {bytes: ok + "A: b", part: "head"},
		"cut body":     {bytes: ok + "Content-Length: 5\r\n\r\nabc", part: "body"},
		"empty body":   {bytes: ok + "Content-Length: 5\r\n\r\n", part: "body"},
		"cut chunk":    {bytes: ok + "Transfer-Encoding: chunked\r\n\r\n", part: "chunk"},
		"no byte":      {},
		"slow":         {bytes: ok + "A: ", stays: true},
		"silent":       {stays: true},
		"whole":        {bytes: ok + "Content-Length: 0\r\n\r\n"},
		"whole, ended": {bytes: ok + "\r\nabc"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			scope := tally.NewTestScope("", nil)
			a, lines := newLogged("health check: target's response broke off", scope)
			cur := beat.Announcement{ID: "t1", Born: 1, Sequence: 1, Service: "bookings", Slots: 9, Address: troubledTarget(t, c.bytes, c.stays)}
			agent.AnnounceTarget(a, cur)
			agent.CheckHealth(a, cur)
			if c.part == "" {
				is.Equal(len(lines), 0)
				return
			}
			is.Equal(len(lines), 1)
			line := <-lines
			is.Equal(line.Fields.Get("target"), "t1")
			is.Equal(line.Fields.Get("part"), c.part)
			is.True(line.Fields.Get("error") != nil)
			is.Equal(scope.Snapshot().Counters()["responses_broken+part="+c.part].Value(), int64(1))
		})
	}
}

// Guards against callers that send without end and of whom the log and the counters don't
// tell what they sent.
func TestUnreadRequestsAreLoggedAndCountedByPart(t *testing.T) {
	for name, c := range map[string]struct {
		bytes  string
		part   string
		status int
		read   int64
	}{
		"no HTTP": {"\x16\x03\x01\n", "head", 400, 4},
		"header":  {"GET / HTTP/1.1\r\nA: " + strings.Repeat("x", 20_000), "head", 431, 16 << 10},
		"body":    {"POST / HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n", "body", 413, 0},
		"chunk":   {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nx\r\n", "chunk", 400, 3},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			scope := tally.NewTestScope("", nil)
			a, lines := newLogged("request ended", scope)
			ln, err := net.Listen("tcp4", "127.0.0.1:0")
			is.NoErr(err)
			defer func() { _ = ln.Close() }()
			go func() { _ = agent.ServeCallers(a, ln) }()
			nc, err := net.Dial("tcp4", ln.Addr().String())
			is.NoErr(err)
			defer func() { _ = nc.Close() }()
			_, err = nc.Write([]byte(c.bytes))
			is.NoErr(err)
			var line *log.Entry
			select {
			case line = <-lines:
			case <-time.After(patience):
				t.Fatal("no line")
			}
			is.Equal(line.Fields.Get("status"), c.status)
			is.Equal(line.Fields.Get("part"), c.part)
			is.True(line.Fields.Get("readBytes").(int64) >= c.read)
			is.True(line.Fields.Get("error") != nil)
			counted, ok := scope.Snapshot().Counters()["requests_unread+part="+c.part]
			is.True(ok)
			is.Equal(counted.Value(), int64(1))
		})
	}
}
