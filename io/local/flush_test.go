package local_test

import (
	"bufio"
	"net"
	"testing"

	"github.com/matryer/is"

	"trefoilthread/io/httpw"
)

// Guards against a request that is sent again after its target was replaced, on a connection that was
// in use meanwhile, and gets a late copy of its first response there.
func TestFlushedConnectionInUseIsNotKept(t *testing.T) {
	is := is.New(t)
	begun, flushed := make(chan struct{}), make(chan struct{})
	c := target(t, func(n int, c net.Conn, br *bufio.Reader) {
		for last := ""; ; {
			req, err := httpw.ReadRequest(br, limits)
			if err != nil {
				return
			}
			id := req.Header.Get("Id")
			if id == "other" {
				close(begun)
				<-flushed
			}
			if n == 1 && id == "again" && last != "" {
				answer(c, id, "first") // late
			}
			if n == 1 {
				answer(c, id, "first")
			} else {
				answer(c, id, "second")
			}
			last = id
		}
	})
	_, err := do(t, c, "again", "")
	is.NoErr(err)
	done := make(chan error)
	go func() {
		_, err := do(t, c, "other", "")
		done <- err
	}()
	<-begun
	c.Flush()
	close(flushed)
	is.NoErr(<-done)
	resp, err := do(t, c, "again", "")
	is.NoErr(err)
	is.Equal(string(resp.Body), "second")
}
