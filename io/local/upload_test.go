package local_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"trefoilthread/io/httpw"
	"trefoilthread/io/local"
)

const (
	// longUpload is the length in bytes of a body that doesn't fit the sockets' buffers.
	longUpload = 16 << 20
	// openHead begins a response whose body ends with the connection.
	openHead = "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n"
	// resets is how often a reset is repeated: whether the kernel reports it to the writer or
	// to the reader differs from time to time.
	resets = 20
)

// earlyTarget answers a long upload after its head: it sends a part of a response without
// length, and then ends the connection.
func earlyTarget(t *testing.T, end func(c *net.TCPConn, br *bufio.Reader)) *local.Client {
	return target(t, func(_ int, c net.Conn, br *bufio.Reader) {
		if _, err := httpw.ReadRequestHead(br, httpw.Limits{HeaderBytes: 4096, BodyBytes: longUpload}); err != nil {
			return
		}
		_, _ = io.WriteString(c, openHead+"part")
		time.Sleep(10 * time.Millisecond) // the writer waits for the target, the reader has the part
		end(c.(*net.TCPConn), br)
	})
}

// Guards against a part of a response that is passed on as a whole one: the kernel reports a
// reset once, to the writer of the request's body if it comes first, and its reader then sees
// a usual end.
func TestResetDuringAnUploadCutsTheResponse(t *testing.T) {
	body := strings.Repeat("x", longUpload)
	for name, end := range map[string]func(c *net.TCPConn, br *bufio.Reader){
		"reset":                    func(c *net.TCPConn, _ *bufio.Reader) { _ = c.SetLinger(0) },
		"closed with unread bytes": func(*net.TCPConn, *bufio.Reader) {},
		"end, then a reset": func(c *net.TCPConn, _ *bufio.Reader) {
			_ = c.CloseWrite()
			time.Sleep(10 * time.Millisecond)
			_ = c.SetLinger(0)
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := earlyTarget(t, end)
			taken := 0
			for range resets {
				resp, err := do(t, c, "1", body)
				if err == nil {
					taken++
					continue
				}
				part, read := httpw.Progress(err)
				if part != httpw.PartBody || errors.Is(err, local.ErrNotSent) || errors.Is(err, io.EOF) {
					t.Fatalf("response %+v, error %v in part %v after %d bytes", resp, err, part, read)
				}
			}
			if taken > 0 {
				t.Errorf("%d of %d cut responses taken as whole", taken, resets)
			}
		})
	}
}

// Guards against a whole response that is refused because its sender ended it before it had
// read the request, and against one that is taken before the request is written: the response
// of a target that reads no further isn't complete when the context ends.
func TestEndOfAnOpenResponseWaitsForTheUpload(t *testing.T) {
	is := is.New(t)
	body := strings.Repeat("x", longUpload)
	c := earlyTarget(t, func(c *net.TCPConn, br *bufio.Reader) {
		_ = c.CloseWrite()
		time.Sleep(10 * time.Millisecond)
		_, _ = io.Copy(io.Discard, br)
	})
	resp, err := do(t, c, "1", body)
	is.NoErr(err)
	is.Equal(string(resp.Body), "part")
	is.True(resp.Close)
	never := make(chan struct{})
	t.Cleanup(func() { close(never) })
	c = earlyTarget(t, func(c *net.TCPConn, _ *bufio.Reader) {
		_ = c.CloseWrite()
		<-never
	})
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	_, err = c.Do(ctx, &httpw.Request{Method: "POST", Target: "/", Header: httpw.Header{{Name: "Id", Value: "1"}}, Body: []byte(body)})
	is.True(errors.Is(err, context.DeadlineExceeded))
}
