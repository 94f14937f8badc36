package mesh_test

import (
	"bytes"
	"context"
	"sync"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"trefoilthread/io/mesh"
)

// Guards against a peer that has a pong written for each of its pings, however many come.
func TestPingsWithoutEnd(t *testing.T) {
	const pings = 100_000
	is := is.New(t)
	_, addr := serve(t, echo)
	c := dialRaw(t, addr)
	frames := append(hello(t), bytes.Repeat(frameOf(pingFrame, 0), pings)...)
	go func() { _, _ = c.Write(append(frames, wireOf(t, wireCall, 7, &mesh.CallHead{ID: "1"})...)) }()
	counts := make(map[byte]int)
	for counts[wireAnswer] == 0 {
		kind, _, _, err := receiveNumbered(c)
		is.NoErr(err)
		counts[kind]++
	}
	const pong = 7
	is.True(counts[pong] > 0 && counts[pong] < pings/2)
}

// Guards against a peer whose open calls take memory without bound, also under one number or
// canceled, and against one that is refused for good after that.
func TestOpenCallsAreBounded(t *testing.T) {
	const beyond = 3
	for name, isQuery := range map[string]bool{"calls": false, "queries": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			release := make(chan struct{})
			end := sync.OnceFunc(func() { close(release) })
			defer end()
			_, addr := serveWith(t, mesh.ServerOptions{
				Serve: func(context.Context, mesh.Hello, *mesh.CallHead) *mesh.Answer {
					<-release
					return &mesh.Answer{Status: 200}
				},
				Query: func(context.Context, mesh.Hello, *mesh.Query) *mesh.News {
					<-release
					return new(mesh.News)
				},
			})
			frame := wireOf(t, wireCall, 1, &mesh.CallHead{ID: "1"})
			if isQuery {
				frame = wireOf(t, wireQuery, 1, &mesh.Query{Revision: 1})
			}
			c := open(t, addr, hello(t))
			go func() { _, _ = c.Write(bytes.Repeat(append(frame, frameOf(cancelFrame, 0)...), mesh.MaxOpen+beyond)) }()
			// refused reads the next answer and reports whether it is a refusal.
			refused := func() bool {
				for {
					kind, _, payload, err := receiveNumbered(c)
					is.NoErr(err)
					var ans mesh.Answer
					var news mesh.News
					switch kind {
					case wireAnswer:
						is.NoErr(cbor.Unmarshal(payload, &ans))
						return ans.Result == mesh.Refused
					case wireNews:
						is.NoErr(cbor.Unmarshal(payload, &news))
						return news.Refused != ""
					}
				}
			}
			for range beyond {
				is.True(refused())
			}
			end()
			for range mesh.MaxOpen {
				is.True(!refused())
			}
			write(t, c, frame)
			is.True(!refused())
		})
	}
}
