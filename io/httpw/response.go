package httpw

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
)

// ReadResponse reads the whole response to a request with the given method.
// Interim responses are dropped. It returns io.EOF if the connection ends
// before the first byte. A response that is cut is an error: also one without
// a length whose connection is reset instead of closed.
func ReadResponse(br *bufio.Reader, method string, lim Limits) (*Response, error) {
	for {
		resp, err := readResponse(br, method, lim)
		if err != nil || resp.Status >= 200 {
			return resp, err
		}
	}
}

func readResponse(br *bufio.Reader, method string, lim Limits) (*Response, error) {
	h := head{br: br, left: lim.HeaderBytes}
	line, err := h.line()
	if err != nil {
		return nil, err
	}
	resp, keepAlive, err := parseStatus(line)
	if err != nil {
		return nil, err
	}
	if resp.Header, err = h.fields(); err != nil {
		return nil, err
	}
	frame, err := framingOf(resp.Header)
	if err != nil {
		return nil, err
	}
	resp.Close = resp.Header.hasToken("Connection", "close") ||
		!keepAlive && !resp.Header.hasToken("Connection", "keep-alive")
	switch {
	case !hasBody(resp.Status, method):
		return resp, nil
	case frame.chunked:
		resp.Body, err = readChunked(br, lim.BodyBytes)
	case frame.length > lim.BodyBytes:
		err = newMessageError(400, "body longer than %d bytes", lim.BodyBytes)
	case frame.length >= 0:
		resp.Body, err = readLength(br, frame.length)
	default:
		resp.Close, resp.NoLength = true, true
		resp.Body, err = readToEnd(br, lim.BodyBytes)
	}
	return resp, err
}

func parseStatus(line string) (resp *Response, keepAlive bool, err error) {
	proto, rest, _ := strings.Cut(line, " ")
	code, reason, _ := strings.Cut(rest, " ")
	if proto != "HTTP/1.1" && proto != "HTTP/1.0" || len(code) != 3 {
		return nil, false, newMessageError(400, "malformed status line")
	}
	status, err := strconv.Atoi(code)
	if err != nil || status < 100 {
		return nil, false, newMessageError(400, "status %q", code)
	}
	return &Response{Status: status, Reason: reason}, proto == "HTTP/1.1", nil
}

func hasBody(status int, method string) bool {
	return method != http.MethodHead && status >= 200 && status != 204 && status != 304
}

// readToEnd reads until the connection is closed in the open.
func readToEnd(br *bufio.Reader, limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(br, limit+1))
	if err == nil && int64(len(body)) > limit {
		err = newMessageError(400, "body longer than %d bytes", limit)
	}
	return body, err
}

// AppendResponse appends the bytes of r to buf, always with a length. The
// header must have no framing lines.
func AppendResponse(buf []byte, r *Response, method string) []byte {
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
	buf = append(buf, "\r\n"...)
	return append(buf, r.Body...)
}

// IsMessageError reports whether err is about the bytes of a message, not the
// connection.
func IsMessageError(err error) bool {
	var bad *MessageError
	return errors.As(err, &bad)
}
