package httpw_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strconv"
	"testing"

	"github.com/matryer/is"

	"trefoilthread/io/httpw"
)

// framings are the ways in which a response with a body of n bytes may be written.
var framings = map[string]func(w io.Writer, n int){
	"length": func(w io.Writer, n int) {
		_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", n)
		_, _ = w.Write(numbered(n))
	},
	"chunks": func(w io.Writer, n int) {
		_, _ = io.WriteString(w, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		for body := numbered(n); len(body) > 0; {
			size := min(len(body), 5003)
			_, _ = fmt.Fprintf(w, "%x\r\n%s\r\n", size, body[:size])
			body = body[size:]
		}
		_, _ = io.WriteString(w, "0\r\n\r\n")
	},
	"end of the connection": func(w io.Writer, n int) {
		_, _ = io.WriteString(w, "HTTP/1.1 200 OK\r\n\r\n")
		_, _ = w.Write(numbered(n))
	},
}

// numbered returns n bytes without a short period.
func numbered(n int) []byte {
	var b []byte
	for i := int64(0); len(b) < n; i++ {
		b = append(strconv.AppendInt(b, i, 10), ' ')
	}
	return b[:n]
}

// stutter is a reader that returns nothing at each second read.
type stutter struct {
	r     io.Reader
	pause bool
}

func (s *stutter) Read(p []byte) (int, error) {
	if s.pause = !s.pause; s.pause {
		return 0, nil
	}
	return s.r.Read(p)
}

// Guards against bytes that are lost, doubled or mixed where a block of a body ends, and
// against a block that is used again while a body still needs it.
func TestBodiesOfBlocks(t *testing.T) {
	is := is.New(t)
	for name, write := range framings {
		var bodies [][]byte
		sizes := []int{0, 1, 4095, 4097, 65535, 65536, 65537, 131072, 131073, 262144, 262145, 1 << 20, 65537}
		for _, n := range sizes {
			var b bytes.Buffer
			write(&b, n)
			resp, err := httpw.ReadResponse(bufio.NewReader(&stutter{r: &b}), http.MethodGet, httpw.Limits{HeaderBytes: 1 << 10, BodyBytes: 1 << 20})
			is.NoErr(err) // name
			bodies = append(bodies, resp.Body)
		}
		for i, n := range sizes {
			if !bytes.Equal(bodies[i], numbered(n)) {
				t.Errorf("%s: body of %d bytes has changed", name, n)
			}
		}
	}
}

// Guards against bytes without end that leave several times the memory of their budget as
// garbage, so that a process without processor time to collect it exceeds its memory.
func TestLongBodiesLeaveLittleGarbage(t *testing.T) {
	is := is.New(t)
	const limit = 2 << 20
	for name, write := range framings {
		var b bytes.Buffer
		write(&b, 2*limit)
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		for range 4 {
			lim := httpw.Limits{HeaderBytes: 1 << 10, BodyBytes: 1 << 30, Budget: httpw.NewBudget(limit)}
			_, err := httpw.ReadResponse(bufio.NewReader(bytes.NewReader(b.Bytes())), http.MethodGet, lim)
			is.True(err != nil) // no memory
		}
		runtime.ReadMemStats(&after)
		if got := after.TotalAlloc - before.TotalAlloc; got > 4*2*limit {
			t.Errorf("%s: %d MB allocated for four bodies of %d MB", name, got>>20, limit>>20)
		}
	}
}
