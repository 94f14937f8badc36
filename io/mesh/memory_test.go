package mesh_test

import (
	"context"
	"encoding/binary"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"trefoilthread/io/httpw"
	"trefoilthread/io/mesh"
)

const (
	// memoryOfOne is enough for one body of oneBody bytes, of which a part needs none.
	memoryOfOne = oneBody
	oneBody     = 200 << 10
)

// patientClient returns a client that takes no slow connection for a silent one: a long body
// takes its time on a busy machine.
func patientClient(t *testing.T, memory *httpw.Budget) *mesh.Client {
	return client(t, mesh.ClientOptions{Memory: memory, Silence: time.Minute, DialTimeout: patience})
}

// Guards against calls that fill the memory of the daemon that gets them: one without memory
// is answered as not run, the others of its connection go on, and the memory is there again
// once a call is answered.
func TestCallsWithoutMemory(t *testing.T) {
	is := is.New(t)
	started, finish := make(chan struct{}), make(chan struct{})
	_, addr := serveWith(t, mesh.ServerOptions{
		Memory: httpw.NewBudget(memoryOfOne),
		NoMemory: func(from mesh.Hello, n int) *mesh.Answer {
			if n <= oneBody || from.Node != "a" {
				t.Errorf("call of %d bytes of %q", n, from.Node)
			}
			return &mesh.Answer{Result: mesh.Refused, Reason: "no memory"}
		},
		Serve: func(_ context.Context, _ mesh.Hello, call *mesh.CallHead) *mesh.Answer {
			switch call.ID {
			case "held":
				close(started)
				<-finish
			case "refused":
				t.Error("call was handed over")
			}
			return &mesh.Answer{Status: 200}
		},
	})
	c := patientClient(t, nil)
	ctx := bounded(t)
	held := make(chan error, 1)
	go func() {
		_, err := c.Call(ctx, addr, &mesh.CallHead{ID: "held", Body: make([]byte, oneBody)})
		held <- err
	}()
	<-started
	ans, err := c.Call(ctx, addr, &mesh.CallHead{ID: "refused", Body: make([]byte, oneBody)})
	is.NoErr(err)
	is.Equal(ans.Result, mesh.Refused)
	ans, err = c.Call(ctx, addr, &mesh.CallHead{ID: "short", Body: make([]byte, 40<<10)}) // on the same connection
	is.NoErr(err)
	is.Equal(ans.Status, 200)
	close(finish)
	is.NoErr(<-held)
	for range 3 {
		ans, err = c.Call(ctx, addr, &mesh.CallHead{ID: "later", Body: make([]byte, oneBody)})
		is.NoErr(err)
		is.Equal(ans.Status, 200)
	}
}

// Guards against answers that fill the memory of the daemon that called: one without memory
// ends its call as one that may have run, and the others of its connection go on.
func TestAnswersWithoutMemory(t *testing.T) {
	is := is.New(t)
	_, addr := serve(t, func(_ context.Context, _ mesh.Hello, call *mesh.CallHead) *mesh.Answer {
		if call.ID == "short" {
			return &mesh.Answer{Status: 200}
		}
		return &mesh.Answer{Status: 200, Body: make([]byte, oneBody)}
	})
	c := patientClient(t, httpw.NewBudget(memoryOfOne))
	ctx := bounded(t)
	for range 3 {
		first, err := c.Call(ctx, addr, &mesh.CallHead{ID: "held"})
		is.NoErr(err)
		is.Equal(len(first.Body), oneBody)
		_, err = c.Call(ctx, addr, &mesh.CallHead{ID: "lost"})
		is.True(errors.Is(err, mesh.ErrNoMemory))
		ans, err := c.Call(ctx, addr, &mesh.CallHead{ID: "short"})
		is.NoErr(err)
		is.Equal(ans.Status, 200)
		first.Memory.Release()
	}
}

// Guards against memory that is lost with the answers to calls that were given up.
func TestCanceledCallsKeepNoMemory(t *testing.T) {
	is := is.New(t)
	_, addr := serve(t, func(context.Context, mesh.Hello, *mesh.CallHead) *mesh.Answer {
		return &mesh.Answer{Status: 200, Body: make([]byte, oneBody)}
	})
	c := patientClient(t, httpw.NewBudget(memoryOfOne))
	for range 300 {
		ctx, cancel := context.WithCancel(bounded(t))
		go cancel() // at about the time of the answer, in some of the calls
		if ans, err := c.Call(ctx, addr, &mesh.CallHead{ID: "1"}); err == nil {
			ans.Memory.Release()
		}
	}
	ctx := bounded(t)
	for {
		ans, err := c.Call(ctx, addr, &mesh.CallHead{ID: "2"})
		is.NoErr(ctx.Err()) // memory is lost
		if errors.Is(err, mesh.ErrNoMemory) || err == nil && ans.Result == mesh.Broken {
			continue // answers to given up calls are still on their way
		}
		is.NoErr(err)
		is.Equal(len(ans.Body), oneBody)
		return
	}
}

// Guards against memory of answers that is kept after they were sent, or weren't.
func TestSentAnswersKeepNoMemory(t *testing.T) {
	is := is.New(t)
	budget := httpw.NewBudget(memoryOfOne)
	_, addr := serve(t, func(context.Context, mesh.Hello, *mesh.CallHead) *mesh.Answer {
		memory, ok := budget.Hold(oneBody)
		if !ok {
			return &mesh.Answer{Result: mesh.Broken}
		}
		return &mesh.Answer{Status: 200, Body: make([]byte, oneBody), Memory: memory}
	})
	for range 3 {
		c := patientClient(t, nil)
		ctx := bounded(t)
		for served := 0; served < 3; {
			ans, err := c.Call(ctx, addr, &mesh.CallHead{ID: "1"})
			is.NoErr(err)
			if ans.Result == mesh.Answered { // else the write before it has just ended
				served++
			}
		}
		ctx, cancel := context.WithCancel(ctx)
		go func() {
			cancel()
			c.Close() // perhaps during the write
		}()
		if _, err := c.Call(ctx, addr, &mesh.CallHead{ID: "2"}); err == nil {
			t.Log("answered before the close")
		}
	}
}

// Guards against memory that is kept for bytes that a stalled peer never sends.
func TestStalledCallsHoldNoMoreThanCame(t *testing.T) {
	const announced = 2 * oneBody
	is := is.New(t)
	_, addr := serveWith(t, mesh.ServerOptions{
		Memory:   httpw.NewBudget(announced),
		NoMemory: func(mesh.Hello, int) *mesh.Answer { return &mesh.Answer{Result: mesh.Refused} },
		Serve:    echo,
	})
	stalled, err := net.Dial("tcp", addr)
	is.NoErr(err)
	defer func() { _ = stalled.Close() }()
	const call = 2 // kind of the frame
	frame := append(binary.BigEndian.AppendUint32(nil, announced), call, 0, 0, 0, 0, 0, 0, 0, 1)
	_, err = stalled.Write(append(frame, make([]byte, 1000)...))
	is.NoErr(err)
	time.Sleep(20 * time.Millisecond) // the server reads it
	ans, err := patientClient(t, nil).Call(bounded(t), addr, &mesh.CallHead{ID: "1", Body: make([]byte, oneBody)})
	is.NoErr(err)
	is.Equal(ans.Result, mesh.Answered)
}
