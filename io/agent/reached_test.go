package agent_test

import (
	"bufio"
	"context"
	"net"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"trefoilthread/core/beat"
	"trefoilthread/io/agent"
	"trefoilthread/io/httpw"
	"trefoilthread/io/logs"
	"trefoilthread/io/mesh"
)

// Guards against a second attempt at the target that has refused the first one, because the
// answer names a later target, or none.
func TestAnswerNamesTheTargetThatWasReached(t *testing.T) {
	for name, then := range map[string]beat.Announcement{
		"draining for a moment": {ID: "t1", Born: 2, Sequence: 2, Service: "bookings", Slots: 4, Draining: true},
		"replaced":              {ID: "t2", Born: 3, Sequence: 1, Service: "bookings", Slots: 4},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ln, err := net.Listen("tcp4", "127.0.0.1:0")
			is.NoErr(err)
			defer func() { _ = ln.Close() }()
			a := agent.New(agent.Options{
				Settings: agent.Settings{Node: "self", DataCentre: "kl", Mesh: "10.0.0.1:7000"}, Wire: flakyWire(),
				Log: logs.Discard(), Clock: clockwork.NewRealClock(), Scope: tally.NoopScope,
			})
			now := beat.Announcement{ID: "t1", Born: 2, Sequence: 1, Service: "bookings", Slots: 4, Address: ln.Addr().String()}
			then.Address = now.Address
			agent.AnnounceTarget(a, now)
			go func() {
				c, err := ln.Accept()
				if err != nil {
					return
				}
				defer func() { _ = c.Close() }()
				br := bufio.NewReader(c)
				req, err := httpw.ReadRequest(br, httpw.Limits{HeaderBytes: 4096, BodyBytes: 4096})
				if err != nil {
					return
				}
				agent.AnnounceTarget(a, then)
				_, _ = c.Write(httpw.AppendResponse(nil, &httpw.Response{Status: 503, Header: httpw.Header{
					{Name: "Id", Value: req.Header.Get("Id")}, {Name: "Not-Run", Value: "1"},
				}}, req.Method))
				_, _ = br.ReadByte()
			}()
			ans := agent.Serve(context.Background(), a, &mesh.CallHead{
				ID: "x", Service: "bookings", Target: "t0", Method: "POST", Path: "/x", RemainingMs: 5000, GoalMs: 5000, AtMostOnce: true,
			})
			is.True(ans.Reached)
			is.Equal(ans.Target, "t1")
		})
	}
}
