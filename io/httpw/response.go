package httpw

import (
	"bufio"
	"net/http"
	"regexp"
	"slices"
	"strconv"
	"strings"
)

// maxInterim is the number of interim responses that may come before a response.
const maxInterim = 8

// ReadResponse reads the whole response to a request with the given method.
// Up to maxInterim interim responses are dropped. It returns io.EOF if the connection ends
// before the first byte. A response that is cut is an error: also one without
// a length whose connection is reset instead of closed.
func ReadResponse(br *bufio.Reader, method string, lim Limits) (*Response, error) {
	h := newHead(br, lim)
	h.isResponse = true
	for range maxInterim + 1 {
		h.left = lim.HeaderBytes
		resp, err := readResponse(h, method, lim)
		if err != nil || resp.Status >= 200 {
			return resp, err
		}
	}
	return nil, newLengthError(400, position{PartInterim, h.read}, "more than %d interim responses", maxInterim)
}

// readResponse reads a response whose head begins at h.
func readResponse(h *head, method string, lim Limits) (*Response, error) {
	resp, proto, frame, err := h.response()
	if err != nil {
		return nil, err
	}
	resp.Close = resp.Header.hasToken("Connection", "close") ||
		proto == proto10 && !resp.Header.hasToken("Connection", "keep-alive")
	if !hasBody(resp.Status, method) {
		return resp, nil
	}
	memory := &Holding{budget: lim.Budget}
	switch {
	case frame.chunked:
		resp.Body, err = readChunked(h.br, true, lim.BodyBytes, memory)
	case frame.length > lim.BodyBytes:
		err = newLengthError(400, bodyAt(0), "body longer than %d bytes", lim.BodyBytes)
	case frame.length >= 0:
		resp.Body, err = readLength(h.br, frame.length, memory)
	default:
		resp.Close, resp.NoLength = true, true
		resp.Body, err = readToEnd(h.br, lim.BodyBytes, memory)
	}
	if err != nil {
		memory.Release()
		return nil, err
	}
	resp.Memory = memory
	return resp, nil
}

// response reads the head of a response up to the empty line.
func (h *head) response() (resp *Response, proto string, frame framing, err error) {
	line, err := h.line()
	if err != nil {
		return nil, "", frame, err
	}
	if resp, proto, err = h.parseStatus(line); err != nil {
		return nil, "", frame, err
	}
	if resp.Header, err = h.fields(); err != nil {
		return nil, "", frame, err
	}
	if isJoined(resp) {
		return nil, "", frame, h.refuse(400, "response that breaks off before another one")
	}
	frame, err = h.framing(proto, resp.Header)
	return resp, proto, frame, err
}

func (h *head) parseStatus(line string) (resp *Response, proto string, err error) {
	proto, rest, _ := strings.Cut(line, " ")
	code, reason, _ := strings.Cut(rest, " ")
	if proto != proto11 && proto != proto10 || len(code) != 3 {
		return nil, "", h.refuse(400, "malformed status line")
	}
	status, err := strconv.Atoi(code)
	if err != nil || !isStatus(status) {
		return nil, "", h.refuse(400, "status %q", code)
	}
	if !isText(reason) {
		return nil, "", h.refuse(400, "control character in the reason phrase")
	}
	return &Response{Status: status, Reason: reason}, proto, nil
}

// isStatus reports whether a number is a status code (RFC 9110, section 15).
func isStatus(n int) bool { return n >= 100 && n <= 599 }

// statusLine matches the beginning of a status line.
var statusLine = regexp.MustCompile(`HTTP/1\.[0-9] [0-9]{3}`)

// isJoined reports whether a line of the head goes on with a status line: the response broke
// off there, and the following lines belong to another one.
func isJoined(resp *Response) bool {
	return hasStatusLine(resp.Reason) ||
		slices.ContainsFunc(resp.Header, func(f Field) bool { return hasStatusLine(f.Value) })
}

// hasStatusLine looks for the version first, which most texts lack, as that costs less.
func hasStatusLine(s string) bool {
	return strings.Contains(s, "HTTP/1.") && statusLine.MatchString(s)
}

func hasBody(status int, method string) bool {
	return method != http.MethodHead && status >= 200 && status != 204 && status != 304
}

// readToEnd reads until the connection is closed in the open.
func readToEnd(br *bufio.Reader, limit int64, memory *Holding) ([]byte, error) {
	c := &collector{memory: memory}
	defer c.drop()
	if err := c.readAll(br, limit); err != nil {
		return nil, err
	}
	return c.bytes(), nil
}

// AppendResponse appends the bytes of r to buf, always with a length. The
// header must have no framing lines.
func AppendResponse(buf []byte, r *Response, method string) []byte {
	return append(AppendResponseHead(buf, r, method), SentBody(r, method)...)
}

// SentBody returns the body that follows the head of r, nil for none.
func SentBody(r *Response, method string) []byte {
	if !hasBody(r.Status, method) {
		return nil
	}
	return r.Body
}

// AppendResponseHead appends the bytes of r before its body to buf.
func AppendResponseHead(buf []byte, r *Response, method string) []byte {
	buf = append(buf, "HTTP/1.1 "...)
	buf = strconv.AppendInt(buf, int64(r.Status), 10)
	buf = append(buf, ' ')
	reason := r.Reason
	if reason == "" {
		reason = http.StatusText(r.Status)
	}
	buf = append(buf, reason...)
	buf = append(buf, "\r\n"...)
	buf = appendFields(buf, r.Header)
	if r.Close {
		buf = append(buf, "Connection: close\r\n"...)
	}
	if !hasBody(r.Status, method) {
		return append(buf, "\r\n"...)
	}
	buf = appendLength(buf, len(r.Body))
	return append(buf, "\r\n"...)
}
