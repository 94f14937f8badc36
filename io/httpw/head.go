package httpw

import (
	"bufio"
	"errors"
	"io"
	"strconv"
	"strings"
)

// head reads the lines of one message head, or of another part of a message, within a limit
// in bytes.
type head struct {
	position
	br   *bufio.Reader
	left int
	name string // of the part, for errors
	// strict means that lines end with CRLF. With a bare LF at the end of a chunk size, others
	// take the next line for a part of the extension (RFC 9112, section 7.1).
	strict bool
	// isResponse means that values have no control characters but tabs. They are invalid in
	// requests as well, but a recipient may accept them (RFC 9110, section 5.5).
	isResponse bool
}

// newHead returns the reader of the start line and header lines of a message.
func newHead(br *bufio.Reader, lim Limits) *head {
	return &head{position: position{part: PartHead}, br: br, left: lim.HeaderBytes, name: "header"}
}

// line reads one line without its end. A bare LF ends a line as well unless strict is set,
// as RFC 9112 allows for the start line and fields; a bare CR does not.
func (h *head) line() (string, error) {
	var long []byte
	for {
		part, err := h.br.ReadSlice('\n')
		h.left -= len(part)
		h.read += int64(len(part))
		if h.left < 0 {
			return "", newLengthError(431, h.position, "%s longer than allowed", h.name)
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			long = append(long, part...)
			continue
		}
		if err != nil {
			if errors.Is(err, io.EOF) && h.part == PartHead && h.read == 0 {
				return "", io.EOF
			}
			return "", cutAt(h.position, err)
		}
		if long != nil {
			part = append(long, part...)
		}
		s, crlf := strings.CutSuffix(string(part[:len(part)-1]), "\r")
		if h.strict && !crlf {
			return "", h.refuse(400, "%s without CR", h.name)
		}
		if strings.ContainsAny(s, "\r\x00") {
			return "", h.refuse(400, "control character in header")
		}
		return s, nil
	}
}

// fields reads header lines up to the empty line.
func (h *head) fields() (Header, error) {
	hdr := make(Header, 0, 8)
	for {
		s, err := h.line()
		if err != nil {
			return nil, err
		}
		if s == "" {
			return hdr, nil
		}
		name, value, ok := strings.Cut(s, ":")
		if !ok || !isToken(name) {
			return nil, h.refuse(400, "malformed header line")
		}
		if h.isResponse && !isText(value) {
			return nil, h.refuse(400, "control character in the value of %s", name)
		}
		hdr = append(hdr, Field{Name: name, Value: strings.Trim(value, " \t")})
	}
}

// refuse returns the error for bytes that are no valid message, or beyond a limit. It is
// logged, so it must not hold bytes of the message: where a line end is missing, a value is
// followed by other header lines, also by one with an API key.
func (h *head) refuse(status int, format string, args ...any) *MessageError {
	return newMessageError(status, h.position, format, args...)
}

// isToken reports whether s is a token of RFC 9110.
func isToken(s string) bool {
	if s == "" {
		return false
	}
	for i := range len(s) {
		c := s[i]
		switch {
		case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9':
		case strings.IndexByte("!#$%&'*+-.^_`|~", c) >= 0:
		default:
			return false
		}
	}
	return true
}

// isText reports whether s has no control characters but tabs.
func isText(s string) bool {
	for i := range len(s) {
		if s[i] < ' ' && s[i] != '\t' || s[i] == 0x7f {
			return false
		}
	}
	return true
}

// Versions that are understood.
const (
	proto10 = "HTTP/1.0"
	proto11 = "HTTP/1.1"
)

// framing is how the end of a body is found.
type framing struct {
	chunked bool
	length  int64 // -1: none given
}

// framing reads the framing headers and refuses contradictory ones. HTTP/1.0 has no transfer
// encoding: others would take such a body for one without a length (RFC 9112, section 6.1).
func (h *head) framing(proto string, hdr Header) (framing, error) {
	f := framing{length: -1}
	for _, l := range hdr {
		switch {
		case strings.EqualFold(l.Name, "Transfer-Encoding"):
			if f.chunked || !strings.EqualFold(l.Value, "chunked") {
				return f, h.refuse(501, "transfer encoding other than chunked, or repeated")
			}
			f.chunked = true
		case strings.EqualFold(l.Name, "Content-Length"):
			n, ok := parseLength(l.Value)
			if !ok || f.length >= 0 && f.length != n {
				return f, h.refuse(400, "content length no number, or contradictory")
			}
			f.length = n
		}
	}
	if f.chunked && proto == proto10 {
		return f, h.refuse(400, "transfer encoding in HTTP/1.0")
	}
	if f.chunked && f.length >= 0 {
		return f, h.refuse(400, "both content length and transfer encoding")
	}
	return f, nil
}

func parseLength(s string) (int64, bool) {
	if s == "" || len(s) > 18 || strings.Trim(s, "0123456789") != "" {
		return 0, false
	}
	n, err := strconv.ParseInt(s, 10, 64)
	return n, err == nil
}
