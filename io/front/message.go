package front

import (
	"net"

	"github.com/jonboulle/clockwork"

	"trefoilthread/io/httpw"
	"trefoilthread/io/write"
)

// maxCopied is the length in bytes up to which a body is copied behind its head, so that
// both take one part of a write. A copy of a long body would need as much memory again while
// its caller reads.
const maxCopied = 64 << 10

// message holds the bytes of responses that are written in one go.
type message struct {
	parts [][]byte
	last  []byte // the part that still grows
}

// add appends a response.
func (m *message) add(resp *httpw.Response, method string) {
	if len(resp.Body) <= maxCopied {
		m.last = httpw.AppendResponse(m.last, resp, method)
		return
	}
	m.last = httpw.AppendResponseHead(m.last, resp, method)
	if body := httpw.SentBody(resp, method); body != nil {
		m.parts = append(m.parts, m.last, body)
		m.last = nil
	}
}

// writeTo writes the responses.
func (m *message) writeTo(nc net.Conn, clock clockwork.Clock) error {
	if len(m.parts) == 0 {
		return write.Within(nc, clock, writeTime, m.last)
	}
	return write.Within(nc, clock, writeTime, append(m.parts, m.last)...)
}
