package agent_test

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"trefoilthread/core/admit"
	"trefoilthread/core/beat"
	"trefoilthread/core/relay"
	"trefoilthread/core/types"
	"trefoilthread/core/vhost"
	"trefoilthread/io/agent"
	"trefoilthread/io/httpw"
	"trefoilthread/io/logs"
	"trefoilthread/io/mesh"
)

// countingListener counts the bytes that its connections read.
type countingListener struct {
	net.Listener
	bytes atomic.Int64
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{c, &l.bytes}, nil
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// slotAgent is an agent over a slow link beside a target with one slot, which answers a
// request for each value in finish.
type slotAgent struct {
	*agent.Agent
	mesh   *countingListener
	client *mesh.Client
	finish chan struct{}
}

func newSlotAgent(t *testing.T) *slotAgent {
	t.Helper()
	is := is.New(t)
	target, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	wire := flakyWire()
	wire.DrainPrefix = "drains/"
	s := &slotAgent{mesh: &countingListener{Listener: ln}, finish: make(chan struct{}, 10)}
	s.Agent = agent.New(agent.Options{
		Settings: agent.Settings{Node: "self", DataCentre: "kl", Mesh: "10.0.0.1:7000", Link: 11, BodyMemory: 1 << 20}, Wire: wire,
		Log: logs.Discard(), Clock: clockwork.NewRealClock(), Scope: tally.NoopScope,
	})
	agent.AnnounceTarget(s.Agent, beat.Announcement{ID: "t1", Born: 2, Sequence: 1, Service: "bookings", Slots: 1, Address: target.Addr().String()})
	go func() {
		for {
			c, err := target.Accept()
			if err != nil {
				return
			}
			go s.serveTarget(c)
		}
	}()
	go func() { _ = agent.ServeMesh(s.Agent, s.mesh) }()
	s.client = mesh.NewClient(mesh.ClientOptions{Clock: clockwork.NewRealClock(), Silence: patience})
	t.Cleanup(func() {
		s.client.Close()
		_, _ = ln.Close(), target.Close()
	})
	return s
}

func (s *slotAgent) serveTarget(c net.Conn) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for {
		req, err := httpw.ReadRequest(br, httpw.Limits{HeaderBytes: 4096, BodyBytes: 1 << 20})
		if err != nil {
			return
		}
		<-s.finish
		resp := &httpw.Response{Status: 200, Header: httpw.Header{{Name: "Id", Value: req.Header.Get("Id")}}}
		if _, err := c.Write(httpw.AppendResponse(nil, resp, req.Method)); err != nil {
			return
		}
	}
}

// call sends a call with a body of n bytes and the given goal.
func (s *slotAgent) call(id string, n int, goal time.Duration) (*mesh.Answer, error) {
	return s.client.Call(context.Background(), s.mesh.Addr().String(), &mesh.CallHead{
		ID: id, Service: "bookings", Target: "t1", Method: "POST", Path: "/x", Route: "upload", Worth: 1, AtMostOnce: true,
		RemainingMs: patience.Milliseconds(), GoalMs: goal.Milliseconds(), Body: make([]byte, n), PeerLink: 11,
	})
}

// Guards against bodies that are sent to a target that can't run their calls: the body of one
// that would be late never comes, that of one that can wait comes when the slot is free.
func TestBodyWaitsForASlot(t *testing.T) {
	const body = 60_000 // takes 44 ms
	is := is.New(t)
	s := newSlotAgent(t)
	ans, err := s.call("late", body, 50*time.Millisecond)
	is.NoErr(err)
	is.Equal(ans.Result, mesh.Refused)

	answers := make(chan error, 2)
	call := func(id string, n int) {
		ans, err := s.call(id, n, patience)
		if err == nil && ans.Result != mesh.Answered {
			err = errors.New(ans.Reason)
		}
		answers <- err
	}
	go call("first", 0)
	for agent.IsTargetIdle(s.Agent) {
		time.Sleep(time.Millisecond)
	}
	go call("waits", body)
	time.Sleep(200 * time.Millisecond) // the body would be there
	is.True(s.mesh.bytes.Load() < body/2)
	s.finish <- struct{}{}
	is.NoErr(<-answers)
	s.finish <- struct{}{}
	is.NoErr(<-answers)
	is.True(s.mesh.bytes.Load() > body)
	for !agent.IsTargetIdle(s.Agent) { // else a call is expected for good
		time.Sleep(time.Millisecond)
	}
}

// Guards against an offered call that waits at a drained data centre until a slot is free, and
// whose body then comes in vain.
func TestOfferIsRefusedByADrain(t *testing.T) {
	is := is.New(t)
	s := newSlotAgent(t)
	first, offered := make(chan error, 1), make(chan *mesh.Answer, 1)
	go func() {
		_, err := s.call("first", 0, patience)
		first <- err
	}()
	for agent.IsTargetIdle(s.Agent) {
		time.Sleep(time.Millisecond)
	}
	go func() {
		ans, _ := s.call("waits", 60_000, patience)
		offered <- ans
	}()
	for agent.OffersWaiting(s.Agent) == 0 {
		time.Sleep(time.Millisecond)
	}
	agent.ApplyItems(s.Agent, []relay.Item{{Key: "drains/kl", Revision: 5}})
	is.Equal(agent.OffersWaiting(s.Agent), 0)
	s.finish <- struct{}{}
	is.NoErr(<-first)
	ans := <-offered
	is.True(ans != nil)
	is.Equal(ans.Result, mesh.Refused)
	is.Equal(ans.Reason, admit.ReasonDrained)
	is.True(s.mesh.bytes.Load() < 30_000)
}

// Guards against a request whose body was not sent, and that is reported as one that may have
// run.
func TestBodyNotSentIsNotRun(t *testing.T) {
	is := is.New(t)
	table, err := vhost.New(vhost.TableSpec{
		Version: 1, Services: []vhost.ServiceSpec{{Name: "bookings"}},
		Hosts: map[string][]vhost.RouteSpec{"a": {{
			Name: "upload", Prefix: "/", Runs: types.AtMostOnce, Attempts: 1, Timeout: time.Second,
			Services: []vhost.WeightedService{{Service: "bookings", Weight: 1}},
		}}},
	})
	is.NoErr(err)
	route, _ := table.Lookup("a", "/x")
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	is.Equal(agent.OutcomeOf(ctx, route, mesh.ErrNotSent), types.NotRun)
	is.Equal(agent.OutcomeOf(ctx, route, ctx.Err()), types.DeadlineExceeded)
}
