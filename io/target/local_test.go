package target_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"trefoilthread/core/types"
	"trefoilthread/io/logs"
	"trefoilthread/io/target"
	"trefoilthread/io/wire"
)

// newLocal returns a Local with an announced target at addr.
func newLocal(t *testing.T, addr string, limits func(string) (int, int, bool)) *target.Local {
	t.Helper()
	l := target.New(target.Options{
		Log:    logs.Discard(),
		Limits: limits,
		Enter:  func(types.Fingerprint) (types.Outcome, string) { return types.Done, "" },
		Leave:  func(types.Fingerprint, target.Ending) {},
		Grant:  func() bool { return false },
		Died:   func() {},
		Waits:  func() {},
	})
	err := l.Announce(target.Announcement{Service: "svc", Address: addr, Slots: 12, Connections: 250, State: "up"})
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func unlimited(string) (int, int, bool) { return 0, 0, false }

// Guards against the HTTP client sending a request a second time on its own:
// net/http does so for requests with an Idempotency-Key whose connection broke
// before an answer, if it can read their body again.
func TestRequestIsHandedOverOnce(t *testing.T) {
	for _, method := range []string{http.MethodPost, http.MethodGet} {
		t.Run(method, func(t *testing.T) {
			is := is.New(t)
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer func() { _ = ln.Close() }()
			var second atomic.Int64
			go serveThenBreak(ln, &second)
			l := newLocal(t, ln.Addr().String(), unlimited)
			head := &wire.CallHead{
				ID: "x", Service: "svc", Method: method, Path: "/", Runs: uint8(types.AtMostOnce), Key: "k",
				Header:  map[string][]string{"Idempotency-Key": {"k"}},
				Timeout: time.Minute.Microseconds(),
			}
			ans, err := l.Do(t.Context(), head, nil)
			is.NoErr(err)
			_, err = io.Copy(io.Discard, ans.Body)
			is.NoErr(err)
			is.NoErr(ans.Body.Close())
			head.Header["X-Second"] = []string{"1"}
			_, err = l.Do(t.Context(), head, nil)
			var f *wire.Failure
			is.True(errors.As(err, &f))
			is.Equal(types.Outcome(f.Outcome), types.Unknown)
			is.Equal(second.Load(), int64(1)) // runs of the second request
		})
	}
}

// serveThenBreak answers the first request of each connection and breaks the
// connection after it has read one marked as second.
func serveThenBreak(ln net.Listener, second *atomic.Int64) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = c.Close() }()
			r := bufio.NewReader(c)
			for {
				req, err := http.ReadRequest(r)
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, req.Body)
				if req.Header.Get("X-Second") != "" {
					second.Add(1)
					return
				}
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			}
		}()
	}
}

// Guards against a target that announces more slots than operators allow
// getting them.
func TestConfiguredLimitsBoundTheTarget(t *testing.T) {
	is := is.New(t)
	slots := 3
	l := newLocal(t, "127.0.0.1:1", func(string) (int, int, bool) { return slots, 100, true })
	is.Equal(l.Report().Limit(), 3)
	slots = 20
	is.NoErr(l.Announce(target.Announcement{
		Service: "svc", Address: "127.0.0.1:1", Slots: 12, Connections: 250, State: "up",
	}))
	is.Equal(l.Report().Limit(), 12)
}

// Guards against calls being handed to a target that has not announced itself
// or drains.
func TestNoWorkWithoutAnnouncement(t *testing.T) {
	is := is.New(t)
	l := newLocal(t, "127.0.0.1:1", unlimited)
	l.Drain(true)
	_, err := l.Do(t.Context(), &wire.CallHead{ID: "x", Service: "svc", Method: "GET", Path: "/", Timeout: 1e6}, nil)
	var f *wire.Failure
	is.True(errors.As(err, &f))
	is.Equal(types.Outcome(f.Outcome), types.NotRun)
	is.True(f.Report.Draining)
}
