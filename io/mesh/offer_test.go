package mesh_test

import (
	"bytes"
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"trefoilthread/io/httpw"
	"trefoilthread/io/mesh"
)

const (
	wireCancel    = 3
	wireGrant     = 30
	wireBody      = 31
	wireFirstPart = 32
	wirePart      = 33

	slowMbit   = 11       // link of a peer
	uploadSize = 60 << 10 // takes 45 ms on it, in 8 parts
	unusedTime = 50 * time.Millisecond
)

// uploadOf returns a call with a long body.
func uploadOf(n int) *mesh.CallHead {
	body := make([]byte, n)
	for i := range body {
		body[i] = byte(rand.Uint32())
	}
	return &mesh.CallHead{ID: "upload", Body: body, PeerLink: slowMbit}
}

// grant grants a call if it is offered, and answers with its body.
func grant(ctx context.Context, call *mesh.CallHead, progress func(n int)) *mesh.Answer {
	if call.Offer != nil {
		if err := call.Offer.Receive(ctx, time.Millisecond, patience, progress); err != nil {
			return &mesh.Answer{Result: mesh.Refused, Reason: err.Error()}
		}
	}
	return &mesh.Answer{Status: 200, Body: call.Body}
}

// Guards against bodies that are sent before a grant, or change on the way, and against
// offers of bodies that are short for their link.
func TestGrantedBodyArrives(t *testing.T) {
	for _, c := range []struct {
		n       int
		link    float64
		offered bool
	}{
		{6000, slowMbit, false}, {8000, slowMbit, true}, {uploadSize, slowMbit, true}, {uploadSize + 1, slowMbit, true},
		{uploadSize, 200, false}, {uploadSize, 0, false},
	} {
		is := is.New(t)
		var came atomic.Int64
		_, addr := serve(t, func(ctx context.Context, _ mesh.Hello, call *mesh.CallHead) *mesh.Answer {
			if (call.Offer != nil) != c.offered || c.offered && (len(call.Body) > 0 || call.BodyLen != c.n) {
				t.Errorf("offered: %v, %d bytes of %d", call.Offer != nil, len(call.Body), call.BodyLen)
			}
			return grant(ctx, call, func(n int) { came.Add(int64(n)) })
		})
		call := uploadOf(c.n)
		call.PeerLink = c.link
		for range 2 { // on a new connection and on a kept one
			came.Store(0)
			ans, err := client(t, mesh.ClientOptions{Silence: patience}).Call(bounded(t), addr, call)
			is.NoErr(err)
			is.True(bytes.Equal(ans.Body, call.Body))
			is.True(came.Load() <= int64(c.n)+frameHead)
		}
	}
}

// frameHead is the size of the head of a frame in parts.
const frameHead = 13

// rawServer accepts one connection, sends a welcome of a version unless it is 0, and hands the
// connection to f.
func rawServer(t *testing.T, version int, f func(nc net.Conn)) string {
	t.Helper()
	return accept(t, func(nc net.Conn) {
		_ = nc.SetDeadline(time.Now().Add(patience))
		if _, _, _, err := receiveNumbered(nc); err != nil { // the hello
			t.Error(err)
			return
		}
		if version > 0 {
			write(t, nc, wireOf(t, wireWelcome, 0, &mesh.Welcome{Version: version}))
		}
		f(nc)
	})
}

// next reads the next frame that is no ping, which it answers.
func next(t *testing.T, nc net.Conn) (kind byte, call uint64, payload []byte) {
	for {
		kind, call, payload, err := receiveNumbered(nc)
		switch {
		case err != nil:
			return 0, 0, nil
		case kind == wirePing:
			write(t, nc, wire(wirePong, call, nil))
		default:
			return kind, call, payload
		}
	}
}

// Guards against offers to peers that don't know them: they would run calls without bodies.
func TestOldPeersGetWholeCalls(t *testing.T) {
	for version := range 2 {
		is := is.New(t)
		call := uploadOf(uploadSize)
		addr := rawServer(t, version, func(nc net.Conn) {
			kind, id, payload := next(t, nc)
			var got mesh.CallHead
			if err := cbor.Unmarshal(payload, &got); kind != wireCall || err != nil || !bytes.Equal(got.Body, call.Body) || got.BodyLen != 0 {
				t.Errorf("kind %d, %d bytes, offered %d, %v", kind, len(got.Body), got.BodyLen, err)
			}
			write(t, nc, wireOf(t, wireAnswer, id, &mesh.Answer{Status: 200}))
		})
		ans, err := client(t, mesh.ClientOptions{Silence: patience}).Call(bounded(t), addr, call)
		is.NoErr(err)
		is.Equal(ans.Status, 200)
	}
}

// end is how a peer ends an exchange, or its caller.
type end uint8

const (
	breaks end = iota
	leaves
	refuses
)

// Guards against a wrong report on a call whose offer, grant or body is lost, and whose caller
// leaves: it may have run only if the last part of its body may have arrived. Guards as well
// against bodies that are sent on although their call was refused.
func TestCallRunsOnlyWithItsWholeBody(t *testing.T) {
	const parts = 8
	for name, c := range map[string]struct {
		grant bool
		parts int // that the peer reads
		end   end
		want  error
	}{
		"offer lost":               {false, 0, breaks, mesh.ErrUnreachable},
		"caller leaves at once":    {false, 0, leaves, mesh.ErrNotSent},
		"refused":                  {false, 0, refuses, nil},
		"grant unused":             {true, 0, breaks, mesh.ErrUnreachable},
		"body lost midway":         {true, 3, breaks, mesh.ErrUnreachable},
		"caller leaves midway":     {true, 3, leaves, mesh.ErrNotSent},
		"refused midway":           {true, 3, refuses, nil},
		"answer lost":              {true, parts, breaks, mesh.ErrBroken},
		"caller leaves at the end": {true, parts, leaves, context.Canceled},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ctx, leave := context.WithCancel(bounded(t))
			defer leave()
			left := make(chan struct{})
			addr := rawServer(t, 2, func(nc net.Conn) {
				_, id, _ := next(t, nc)
				if c.grant {
					write(t, nc, wireOf(t, wireGrant, id, &mesh.Grant{}))
				}
				for range c.parts {
					if kind, of, _ := next(t, nc); of != id || kind != wireFirstPart && kind != wirePart {
						t.Errorf("kind %d of call %d", kind, of)
					}
				}
				switch c.end {
				case breaks:
					return
				case leaves:
					leave()
				case refuses:
					write(t, nc, wireOf(t, wireAnswer, id, &mesh.Answer{Result: mesh.Refused}))
				}
				defer close(left)
				for more := 0; c.end == leaves || c.parts > 0; more++ { // until the cancel
					switch kind, _, _ := next(t, nc); {
					case kind == wireCancel:
						return
					case kind == 0, more > 1:
						t.Errorf("kind %d in place of a cancel", kind)
						return
					}
				}
			})
			// The pace leaves time to leave: 100 ms a part.
			call := uploadOf(uploadSize - 500)
			call.PeerLink = 0.65
			_, err := client(t, mesh.ClientOptions{Silence: patience}).Call(ctx, addr, call)
			is.True(errors.Is(err, c.want))
			if c.end != breaks {
				<-left
			}
		})
	}
}

// Guards against a granted body that doesn't come, or stalls, and against memory that it keeps
// then; and against a body for which there is no memory.
func TestBodiesThatDoNotCome(t *testing.T) {
	for name, c := range map[string]struct {
		budget int64
		send   func(t *testing.T, nc net.Conn)
		want   error
	}{
		"no memory": {0, func(*testing.T, net.Conn) {}, mesh.ErrNoMemory},
		"unused":    {oneBody, func(*testing.T, net.Conn) {}, mesh.ErrUnused},
		"stalled": {oneBody, func(t *testing.T, nc net.Conn) {
			write(t, nc, wire(wireFirstPart, 1, append(wire(wireBody, 1, make([]byte, oneBody))[:frameHead], 1, 2, 3)))
		}, mesh.ErrUnused},
		"another length": {oneBody, func(t *testing.T, nc net.Conn) {
			write(t, nc, wire(wireBody, 1, []byte{1, 2, 3}))
		}, mesh.ErrUnused},
		"canceled": {oneBody, func(t *testing.T, nc net.Conn) { write(t, nc, wire(wireCancel, 1, nil)) }, context.Canceled},
		"lost":     {oneBody, func(_ *testing.T, nc net.Conn) { _ = nc.Close() }, context.Canceled},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			budget := httpw.NewBudget(c.budget)
			got := make(chan error, 1)
			_, addr := serveWith(t, mesh.ServerOptions{
				Memory: budget,
				Serve: func(ctx context.Context, _ mesh.Hello, call *mesh.CallHead) *mesh.Answer {
					got <- call.Offer.Receive(ctx, time.Millisecond, unusedTime, func(int) {})
					return &mesh.Answer{Result: mesh.Refused}
				},
			})
			nc := open(t, addr, wireOf(t, wireHello, 0, &mesh.Hello{Node: "b", Version: 2}))
			_, _, _, err := receiveNumbered(nc) // the welcome
			is.NoErr(err)
			write(t, nc, wireOf(t, wireCall, 1, &mesh.CallHead{ID: "1", BodyLen: oneBody}))
			if c.budget > 0 {
				kind, _, _, err := receiveNumbered(nc)
				is.NoErr(err)
				is.Equal(kind, byte(wireGrant))
			}
			c.send(t, nc)
			is.True(errors.Is(<-got, c.want))
			if name != "lost" {
				for kind := byte(0); kind != wireAnswer; {
					kind, _, _, err = receiveNumbered(nc)
					is.NoErr(err)
				}
			}
			for until := time.Now().Add(patience); ; time.Sleep(time.Millisecond) {
				all, ok := budget.Hold(c.budget + 64<<10) // bodies of 64 KB need none of it
				all.Release()
				if ok {
					break
				}
				is.True(time.Now().Before(until)) // memory is lost
			}
		})
	}
}

// Guards against a long body on its way that is taken for silence, and against one that is
// written at once and fills the queues of the kernel.
func TestPacedBody(t *testing.T) {
	is := is.New(t)
	var first, last atomic.Int64
	_, addr := serve(t, func(ctx context.Context, _ mesh.Hello, call *mesh.CallHead) *mesh.Answer {
		begin := time.Now()
		return grant(ctx, call, func(int) {
			first.CompareAndSwap(0, int64(time.Since(begin)))
			last.Store(int64(time.Since(begin)))
		})
	})
	ans, err := client(t, mesh.ClientOptions{Silence: 60 * time.Millisecond}).Call(bounded(t), addr, uploadOf(longBody))
	is.NoErr(err)
	is.Equal(len(ans.Body), longBody)
	is.True(last.Load()-first.Load() > int64(200*time.Millisecond)) // takes 314 ms on its link
}

// Guards against short answers that wait behind a long one on the same connection, and
// against a long one that is put together wrongly.
func TestShortAnswerPassesALongOne(t *testing.T) {
	is := is.New(t)
	began := make(chan struct{})
	body := uploadOf(longBody).Body
	_, addr := serveWith(t, mesh.ServerOptions{
		Uplink: mesh.NewUplink(slowMbit),
		Serve: func(_ context.Context, _ mesh.Hello, call *mesh.CallHead) *mesh.Answer {
			if call.ID == "short" {
				return &mesh.Answer{Status: 204}
			}
			close(began)
			return &mesh.Answer{Status: 200, Body: body}
		},
	})
	c := client(t, mesh.ClientOptions{Silence: patience})
	long := make(chan *mesh.Answer, 1)
	go func() {
		ans, err := c.Call(bounded(t), addr, &mesh.CallHead{ID: "long"})
		if err != nil {
			t.Error(err)
		}
		long <- ans
	}()
	<-began
	for range 10 {
		ans, err := c.Call(bounded(t), addr, &mesh.CallHead{ID: "short"})
		is.NoErr(err)
		is.Equal(ans.Status, 204)
	}
	is.Equal(len(long), 0) // takes 298 ms
	is.True(bytes.Equal((<-long).Body, body))
}

// Guards against parts that end the process or the calls of others: parts without a
// beginning, of an unknown call, or too long.
func TestStrangeParts(t *testing.T) {
	for name, c := range map[string]struct {
		frames [][]byte
		ends   bool // the connection
	}{
		"no beginning":   {[][]byte{wire(wirePart, 1, []byte{1})}, false},
		"unknown call":   {[][]byte{wire(wireBody, 9, []byte{1}), wire(wireFirstPart, 9, append(wire(wireBody, 9, make([]byte, 100))[:frameHead], 1))}, false},
		"no head":        {[][]byte{wire(wireFirstPart, 1, []byte{1})}, true},
		"hello in parts": {[][]byte{wire(wireFirstPart, 1, wire(wireHello, 0, []byte{1}))}, true},
		"beyond its end": {[][]byte{wire(wireFirstPart, 1, append(wire(wireCall, 1, []byte{1}), 1))}, true},
		"whole body":     {[][]byte{wire(wireBody, 1, make([]byte, 100<<10))[:frameHead]}, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, addr := serve(t, echo)
			nc := open(t, addr, wireOf(t, wireHello, 0, &mesh.Hello{Node: "b", Version: 2}))
			for _, f := range c.frames {
				write(t, nc, f)
			}
			write(t, nc, wireOf(t, wireCall, 2, &mesh.CallHead{ID: "2"}))
			kind, _, _, err := receiveNumbered(nc)
			for err == nil && kind != wireAnswer {
				kind, _, _, err = receiveNumbered(nc)
			}
			is.Equal(err != nil, c.ends)
		})
	}
}
