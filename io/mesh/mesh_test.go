package mesh_test

import (
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"go.uber.org/goleak"

	"trefoilthread/io/mesh"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const patience = 60 * time.Second

func serve(t *testing.T, f func(context.Context, mesh.Hello, *mesh.CallHead) *mesh.Answer) (*mesh.Server, string) {
	t.Helper()
	return serveWith(t, mesh.ServerOptions{Serve: f})
}

// serveWith starts a server. Fields that are not set do nothing.
func serveWith(t *testing.T, o mesh.ServerOptions) (*mesh.Server, string) {
	t.Helper()
	o.Notice, o.Failed, o.Clock = func(*mesh.Notice) {}, func(string, error) {}, clockwork.NewRealClock()
	if o.Opened == nil {
		o.Opened = func(mesh.Hello) {}
	}
	s := mesh.NewServer(o)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- s.Serve(ln) }()
	t.Cleanup(func() {
		s.Close()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return s, ln.Addr().String()
}

func client(t *testing.T, o mesh.ClientOptions) *mesh.Client {
	t.Helper()
	o.Clock = clockwork.NewRealClock()
	o.Hello = mesh.Hello{Node: "a", Boot: 7}
	c := mesh.NewClient(o)
	t.Cleanup(c.Close)
	return c
}

func bounded(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	t.Cleanup(cancel)
	return ctx
}

// Guards against answers that reach another call of the same connection.
func TestCallsShareAConnection(t *testing.T) {
	is := is.New(t)
	both := make(chan struct{}, 2)
	_, addr := serve(t, func(_ context.Context, from mesh.Hello, c *mesh.CallHead) *mesh.Answer {
		both <- struct{}{}
		for len(both) < 2 {
			time.Sleep(time.Millisecond)
		}
		return &mesh.Answer{Status: 200, Body: []byte(from.Node + " " + c.ID), Load: mesh.Load{Pace: 2.5}}
	})
	c := client(t, mesh.ClientOptions{})
	errs := make(chan error, 2)
	for _, id := range []string{"1", "2"} {
		go func() {
			ans, err := c.Call(bounded(t), addr, &mesh.CallHead{ID: id})
			if err == nil && (string(ans.Body) != "a "+id || ans.Load.Pace != 2.5) {
				err = errors.New("answer to another call: " + string(ans.Body))
			}
			errs <- err
		}()
	}
	is.NoErr(<-errs)
	is.NoErr(<-errs)
}

// Guards against a call that goes on after its caller gave it up.
func TestCancelReachesThePeer(t *testing.T) {
	is := is.New(t)
	started, canceled := make(chan struct{}), make(chan struct{})
	_, addr := serve(t, func(ctx context.Context, _ mesh.Hello, _ *mesh.CallHead) *mesh.Answer {
		close(started)
		<-ctx.Done()
		close(canceled)
		return &mesh.Answer{Status: 200}
	})
	ctx, cancel := context.WithCancel(bounded(t))
	go func() {
		<-started
		cancel()
	}()
	_, err := client(t, mesh.ClientOptions{}).Call(ctx, addr, &mesh.CallHead{ID: "1"})
	is.True(errors.Is(err, context.Canceled))
	<-canceled
}

// Guards against a call that was sent and is reported as not sent, or the
// reverse: the first may have run.
func TestErrorsTellWhetherTheCallWasSent(t *testing.T) {
	is := is.New(t)
	var s *mesh.Server
	s, addr := serve(t, func(context.Context, mesh.Hello, *mesh.CallHead) *mesh.Answer {
		go s.Close()
		time.Sleep(50 * time.Millisecond)
		return &mesh.Answer{Status: 200}
	})
	c := client(t, mesh.ClientOptions{})
	_, err := c.Call(bounded(t), addr, &mesh.CallHead{ID: "1"})
	is.True(errors.Is(err, mesh.ErrBroken))
	_, err = c.Call(bounded(t), addr, &mesh.CallHead{ID: "2"})
	is.True(errors.Is(err, mesh.ErrUnreachable))
}

// Guards against a connection that has gone silent for good and holds its calls
// until their deadlines.
func TestSilentConnectionIsGivenUp(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = ln.Close() }()
	var taken atomic.Int32
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			taken.Add(1)
			go func() { _, _ = io.Copy(io.Discard, nc) }()
		}
	}()
	c := client(t, mesh.ClientOptions{Silence: 20 * time.Millisecond})
	_, err = c.Call(bounded(t), ln.Addr().String(), &mesh.CallHead{ID: "1"})
	is.True(errors.Is(err, mesh.ErrBroken))
	_, err = c.Call(bounded(t), ln.Addr().String(), &mesh.CallHead{ID: "2"})
	is.True(errors.Is(err, mesh.ErrBroken))
	is.Equal(taken.Load(), int32(2))
}

// Guards against a slow call on a well connection that is taken for a silent
// one: the peer answers pings meanwhile.
func TestSlowCallOnAWellConnection(t *testing.T) {
	is := is.New(t)
	_, addr := serve(t, func(context.Context, mesh.Hello, *mesh.CallHead) *mesh.Answer {
		time.Sleep(300 * time.Millisecond)
		return &mesh.Answer{Status: 200}
	})
	ans, err := client(t, mesh.ClientOptions{Silence: 50 * time.Millisecond}).Call(bounded(t), addr, &mesh.CallHead{ID: "1"})
	is.NoErr(err)
	is.Equal(ans.Status, 200)
}

// Guards against a load that is told to agents that don't use the target, which
// would grow with the square of their number.
func TestPublishReachesRecentCallersOnly(t *testing.T) {
	is := is.New(t)
	s, addr := serve(t, func(context.Context, mesh.Hello, *mesh.CallHead) *mesh.Answer { return &mesh.Answer{Status: 200} })
	got := make(chan *mesh.Notice, 10)
	c := client(t, mesh.ClientOptions{Notice: func(n *mesh.Notice) { got <- n }})
	is.NoErr(c.Notify(bounded(t), addr, &mesh.Notice{Node: "a"}))
	s.Publish(&mesh.Notice{Node: "early"}, time.Hour)
	_, err := c.Call(bounded(t), addr, &mesh.CallHead{ID: "1"})
	is.NoErr(err)
	s.Publish(&mesh.Notice{Node: "late", Load: mesh.Load{Pace: 4}}, time.Hour)
	n := <-got
	is.Equal(n.Node, "late")
	is.Equal(n.Load.Pace, 4.0)
}

// Guards against a query that gets the answer of a call on the same connection,
// or none when it has to wait for news, and against one that goes on at the peer
// after its end.
func TestQueries(t *testing.T) {
	is := is.New(t)
	opened, ended := make(chan mesh.Hello, 1), make(chan struct{})
	_, addr := serveWith(t, mesh.ServerOptions{
		Opened: func(from mesh.Hello) { opened <- from },
		Serve: func(_ context.Context, _ mesh.Hello, c *mesh.CallHead) *mesh.Answer {
			return &mesh.Answer{Status: 200, Reason: c.ID}
		},
		Query: func(ctx context.Context, _ mesh.Hello, q *mesh.Query) *mesh.News {
			if q.Revision == 9 {
				<-ctx.Done()
				close(ended)
			}
			return &mesh.News{Revision: q.Revision + 1, Items: []mesh.Item{{Key: "k", Value: []byte("v"), Revision: 8}}}
		},
	})
	c := client(t, mesh.ClientOptions{Silence: 20 * time.Millisecond})
	news, err := c.Query(bounded(t), addr, &mesh.Query{Revision: 7})
	is.NoErr(err)
	is.Equal(news.Revision, int64(8))
	is.Equal(string(news.Items[0].Value), "v")
	is.Equal((<-opened).Node, "a")
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	_, err = c.Query(ctx, addr, &mesh.Query{Revision: 9})
	is.True(errors.Is(err, context.DeadlineExceeded))
	<-ended
	ans, err := c.Call(bounded(t), addr, &mesh.CallHead{ID: "1"})
	is.NoErr(err)
	is.Equal(ans.Reason, "1")
}

// later is a frame of a daemon of a later version: its message has a field that this
// version doesn't know, and lacks those in which it has nothing to say.
func later(kind byte, call uint64, fields map[int]any) []byte {
	fields[99] = "unknown"
	payload, err := cbor.Marshal(fields)
	if err != nil {
		panic(err)
	}
	buf := binary.BigEndian.AppendUint32(nil, uint32(len(payload)))
	buf = append(buf, kind)
	buf = binary.BigEndian.AppendUint64(buf, call)
	return append(buf, payload...)
}

// receive reads one frame.
func receive(r io.Reader) (kind byte, payload []byte, err error) {
	head := make([]byte, 13)
	if _, err := io.ReadFull(r, head); err != nil {
		return 0, nil, err
	}
	payload = make([]byte, binary.BigEndian.Uint32(head))
	_, err = io.ReadFull(r, payload)
	return head[4], payload, err
}

// Guards against calls that are lost while agents are updated one after the other:
// a message that had grown by a field was refused with its connection.
func TestLaterVersionIsUnderstood(t *testing.T) {
	is := is.New(t)
	const kindHello, kindCall, kindAnswer = 1, 2, 4
	_, addr := serve(t, func(_ context.Context, from mesh.Hello, c *mesh.CallHead) *mesh.Answer {
		return &mesh.Answer{Status: 200, Reason: from.Node + "/" + c.ID}
	})
	nc, err := net.Dial("tcp", addr)
	is.NoErr(err)
	defer nc.Close()
	is.NoErr(nc.SetDeadline(time.Now().Add(patience)))
	_, err = nc.Write(later(kindHello, 0, map[int]any{1: "b"}))
	is.NoErr(err)
	_, err = nc.Write(later(kindCall, 5, map[int]any{1: "7"}))
	is.NoErr(err)
	kind, payload, err := receive(nc)
	is.NoErr(err)
	is.Equal(kind, byte(kindAnswer))
	var ans mesh.Answer
	is.NoErr(cbor.Unmarshal(payload, &ans))
	is.Equal(ans.Reason, "b/7")

	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer ln.Close()
	go func() {
		nc, err := ln.Accept()
		if err != nil {
			return
		}
		defer nc.Close()
		for kind := byte(0); err == nil && kind != kindCall; {
			kind, _, err = receive(nc)
		}
		// The first call of a connection has the number 1. An error shows in the
		// call.
		_, _ = nc.Write(later(kindAnswer, 1, map[int]any{5: 200}))
		_, _ = io.Copy(io.Discard, nc)
	}()
	got, err := client(t, mesh.ClientOptions{}).Call(bounded(t), ln.Addr().String(), &mesh.CallHead{ID: "1"})
	is.NoErr(err)
	is.Equal(got.Status, 200)
}
