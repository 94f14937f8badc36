package httpw

import (
	"bufio"
	"strconv"
	"strings"
)

// continueLine invites a caller to send its body.
const continueLine = "HTTP/1.1 100 Continue\r\n\r\n"

// RequestHead is a request whose body has not been read yet.
type RequestHead struct {
	Request
	frame framing
}

// ReadRequestHead reads up to the empty line. It returns io.EOF if the
// connection ends before the first byte.
func ReadRequestHead(br *bufio.Reader, lim Limits) (*RequestHead, error) {
	h := newHead(br, lim)
	line, err := h.line()
	// A sender may end its previous body with an empty line too many.
	if err == nil && line == "" {
		h.read = 0
		line, err = h.line()
	}
	if err != nil {
		return nil, err
	}
	method, rest, _ := strings.Cut(line, " ")
	target, proto, ok := strings.Cut(rest, " ")
	if !ok || !isToken(method) || !isTarget(target) {
		return nil, h.refuse(400, "malformed request line")
	}
	if proto != proto11 && proto != proto10 {
		return nil, h.refuse(400, "unknown protocol")
	}
	r := &RequestHead{Request: Request{Method: method, Target: target}}
	if r.Header, err = h.fields(); err != nil {
		return nil, err
	}
	if r.Header.count("Host") > 1 { // another server may take the last one
		return nil, h.refuse(400, "more than one host")
	}
	if r.frame, err = h.framing(proto, r.Header); err != nil {
		return nil, err
	}
	if r.frame.length > lim.BodyBytes {
		return nil, newLengthError(413, bodyAt(0), "body longer than %d bytes", lim.BodyBytes)
	}
	r.Close = r.Header.hasToken("Connection", "close") ||
		proto == proto10 && !r.Header.hasToken("Connection", "keep-alive")
	return r, nil
}

// HasBody reports whether body bytes are still to be read.
func (r *RequestHead) HasBody() bool { return r.frame.chunked || r.frame.length > 0 }

// WantsContinue returns the bytes to send before the body is read, or "".
func (r *RequestHead) WantsContinue() string {
	if r.HasBody() && r.Header.hasToken("Expect", "100-continue") {
		return continueLine
	}
	return ""
}

// ReadBody reads the body into the request.
func (r *RequestHead) ReadBody(br *bufio.Reader, lim Limits) error {
	var err error
	r.memory.budget = lim.Budget
	switch {
	case r.frame.chunked:
		r.Body, err = readChunked(br, false, lim.BodyBytes, &r.memory)
	case r.frame.length > 0:
		r.Body, err = readLength(br, r.frame.length, &r.memory)
	}
	if err != nil {
		r.Release()
	}
	return err
}

// ReadRequest reads a whole request.
func ReadRequest(br *bufio.Reader, lim Limits) (*Request, error) {
	r, err := ReadRequestHead(br, lim)
	if err != nil {
		return nil, err
	}
	if err := r.ReadBody(br, lim); err != nil {
		return nil, err
	}
	return &r.Request, nil
}

// isTarget reports whether s is a request target in origin form, or "*".
func isTarget(s string) bool {
	if s == "*" {
		return true
	}
	if s == "" || s[0] != '/' {
		return false
	}
	for i := range len(s) {
		if s[i] <= ' ' || s[i] == 0x7f {
			return false
		}
	}
	return true
}

// AppendRequest appends the bytes of r to buf. The header must have no framing
// lines. A body has a length; a method that usually has a body gets one of 0.
func AppendRequest(buf []byte, r *Request) []byte {
	buf = append(buf, r.Method...)
	buf = append(buf, ' ')
	buf = append(buf, r.Target...)
	buf = append(buf, " HTTP/1.1\r\n"...)
	buf = appendFields(buf, r.Header)
	if len(r.Body) > 0 || r.Method == "POST" || r.Method == "PUT" || r.Method == "PATCH" {
		buf = appendLength(buf, len(r.Body))
	}
	buf = append(buf, "\r\n"...)
	return append(buf, r.Body...)
}

func appendFields(buf []byte, hdr Header) []byte {
	for _, f := range hdr {
		buf = append(buf, f.Name...)
		buf = append(buf, ": "...)
		buf = append(buf, f.Value...)
		buf = append(buf, "\r\n"...)
	}
	return buf
}

func appendLength(buf []byte, n int) []byte {
	buf = append(buf, "Content-Length: "...)
	buf = strconv.AppendInt(buf, int64(n), 10)
	return append(buf, "\r\n"...)
}
