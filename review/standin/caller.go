package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// request is one attempt of a caller.
type request struct {
	id       string
	at       *node
	method   string
	path     string
	header   string // further lines, each with its end
	body     string
	deadline time.Duration
}

// answer is what the caller has got.
type answer struct {
	sent, got time.Duration // since the start of the record
	status    int           // 0: no whole answer
	signed    bool
	body      string
	err       error
}

var lastRequest atomic.Uint64

// newID returns the id of a new attempt.
func newID() string { return fmt.Sprintf("%08x%08x", 0x9c41d07b, lastRequest.Add(1)) }

// bytes returns the request as it is sent.
func (q request) bytes() string {
	s := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Milliseconds: %d\r\n%s",
		q.method, q.path, host, q.id, q.deadline.Milliseconds(), q.header)
	if q.body != "" || q.method != http.MethodGet {
		s += fmt.Sprintf("Content-Length: %d\r\n", len(q.body))
	}
	return s + "\r\n" + q.body
}

// send sends a request on a new connection and waits for its answer.
func (w *world) send(q request) answer {
	a := answer{sent: w.rec.since()}
	c, err := net.DialTimeout("tcp4", q.at.callers, time.Second)
	if err != nil {
		a.err, a.got = err, w.rec.since()
		w.rec.note("caller at %s: %s not sent: %v", q.at.name, q.id, err)
		return a
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(q.deadline)) // an error shows in the read
	w.rec.note("caller at %s: sends %s (%s %s)", q.at.name, q.id, q.method, q.path)
	if _, err := io.WriteString(c, q.bytes()); err != nil {
		a.err, a.got = err, w.rec.since()
		return a
	}
	a.read(bufio.NewReader(c), q.method)
	a.got = w.rec.since()
	w.rec.note("caller at %s: %s ends with %d, signed %v, error %v", q.at.name, q.id, a.status, a.signed, a.err)
	return a
}

// read reads the answer.
func (a *answer) read(br *bufio.Reader, method string) {
	resp, err := http.ReadResponse(br, &http.Request{Method: method})
	if err != nil {
		a.err = err
		return
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		a.err = err
		return
	}
	a.status, a.body = resp.StatusCode, string(body)
	a.signed = resp.Header.Get("Response-Signature") != ""
}
