package local_test

import (
	"bufio"
	"net"
	"testing"

	"github.com/matryer/is"

	"trefoilthread/io/httpw"
)

// Guards against a response that ends early and is taken as whole, with an empty or short
// body: the target closes or resets the connection within the head, or within a body whose
// length is known.
func TestCutResponses(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: 1\r\nX-Long: a value that is cut\r\n"
	for name, r := range map[string]struct {
		whole string
		cuts  int // number of bytes before which a cut is noticed
	}{
		"length":    {whole: head + "Content-Length: 12\r\n\r\nwhole answer"},
		"chunks":    {whole: head + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n7\r\n answer\r\n0\r\n\r\n"},
		"no length": {whole: head + "\r\n", cuts: len(head) + 2},
		"interim":   {whole: "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n" + head + "Content-Length: 0\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			for _, isReset := range []bool{false, true} {
				cuts := r.cuts
				if cuts == 0 {
					cuts = len(r.whole)
				}
				for n := range cuts {
					expectCut(t, r.whole[:n], isReset)
				}
			}
		})
	}
}

// expectCut checks that a response of which only a part came isn't taken.
func expectCut(t *testing.T, part string, isReset bool) {
	t.Helper()
	is := is.New(t)
	c := target(t, func(_ int, c net.Conn, br *bufio.Reader) {
		if _, err := httpw.ReadRequest(br, limits); err != nil {
			return
		}
		_, _ = c.Write([]byte(part))
		if isReset {
			_ = c.(*net.TCPConn).SetLinger(0)
		}
	})
	_, err := do(t, c, "1", "")
	is.True(err != nil)
}
