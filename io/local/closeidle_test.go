package local_test

import (
	"bufio"
	"net"
	"testing"

	"github.com/matryer/is"

	"trefoilthread/io/httpw"
)

// Guards against a new connection for each request beside a target whose health checks fail:
// each failed check closes the idle connections, but those in use are kept.
func TestConnectionInUseOutlivesCloseIdle(t *testing.T) {
	is := is.New(t)
	started, release := make(chan struct{}, 2), make(chan struct{})
	connections := make(chan int, 10)
	c := target(t, func(n int, c net.Conn, br *bufio.Reader) {
		connections <- n
		for {
			req, err := httpw.ReadRequest(br, limits)
			if err != nil {
				return
			}
			started <- struct{}{}
			<-release
			answer(c, req.Header.Get("Id"), "")
		}
	})
	done := make(chan error, 1)
	go func() {
		_, err := do(t, c, "1", "")
		done <- err
	}()
	<-started
	c.CloseIdle()
	close(release)
	is.NoErr(<-done)
	_, err := do(t, c, "2", "")
	is.NoErr(err)
	is.Equal(len(connections), 1)
}
