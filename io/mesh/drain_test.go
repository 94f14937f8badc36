package mesh_test

import (
	"bytes"
	"context"
	"testing"

	"github.com/matryer/is"

	"trefoilthread/io/mesh"
)

// Guards against answers that are lost because their daemon stops between the end of a call
// and the write of its answer.
func TestDrainWaitsForAnswers(t *testing.T) {
	const calls = 20
	is := is.New(t)
	started, release := make(chan struct{}), make(chan struct{})
	s, addr := serve(t, func(context.Context, mesh.Hello, *mesh.CallHead) *mesh.Answer {
		started <- struct{}{}
		<-release
		return &mesh.Answer{Status: 200, Body: bytes.Repeat([]byte("x"), 256<<10)}
	})
	c := client(t, mesh.ClientOptions{})
	failed := make(chan error, calls)
	for range calls {
		go func() {
			_, err := c.Call(bounded(t), addr, &mesh.CallHead{})
			failed <- err
		}()
	}
	for range calls {
		<-started
	}
	close(release)
	s.Drain(bounded(t))
	s.Close()
	for range calls {
		is.NoErr(<-failed)
	}
}
