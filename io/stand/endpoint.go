package stand

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// endpoint is an HTTP server that can stop like a crashed process and start
// again on the same address. It speaks HTTP/1.1 and HTTP/2.
type endpoint struct {
	handler  http.Handler
	maxConns int         // 0: no limit
	tls      *tls.Config // nil: no TLS

	op          sync.Mutex // serialises start and stop
	mu          sync.Mutex
	addr        string
	srv         *http.Server
	served      chan struct{}
	conns       map[*conn]struct{}
	swallowNext int
	refused     int
}

// start listens on addr, or on the address of the previous start if addr is
// empty. Another process can hold the port for a short time, so binding again
// is tried for 2 s.
func (e *endpoint) start(addr string) error {
	e.op.Lock()
	defer e.op.Unlock()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.srv != nil {
		return errors.New("already started")
	}
	tries := 1
	if addr == "" {
		addr, tries = e.addr, 100
	}
	var ln net.Listener
	for {
		var err error
		if ln, err = net.Listen("tcp", addr); err == nil {
			break
		}
		if tries--; tries == 0 {
			return errors.Wrapf(err, "listen on %s", addr)
		}
		time.Sleep(20 * time.Millisecond)
	}
	var p http.Protocols
	p.SetHTTP1(true)
	p.SetHTTP2(true)
	p.SetUnencryptedHTTP2(true)
	e.addr = ln.Addr().String()
	e.conns = map[*conn]struct{}{}
	e.srv = &http.Server{Handler: e.handler, Protocols: &p, ReadHeaderTimeout: time.Minute, TLSConfig: e.tls.Clone()}
	serve := e.srv.Serve
	if e.tls != nil {
		srv := e.srv
		serve = func(ln net.Listener) error { return srv.ServeTLS(ln, "", "") }
	}
	e.served = make(chan struct{})
	go func(served chan struct{}) {
		defer close(served)
		// The error is ErrServerClosed: stop closes the server.
		_ = serve(&listener{Listener: ln, e: e})
	}(e.served)
	return nil
}

// stop closes the listener and all connections at once. It reports false if
// the endpoint was stopped already.
func (e *endpoint) stop() bool {
	e.op.Lock()
	defer e.op.Unlock()
	e.mu.Lock()
	srv, served := e.srv, e.served
	e.srv = nil
	open := make([]*conn, 0, len(e.conns))
	for c := range e.conns {
		open = append(open, c)
	}
	e.mu.Unlock()
	if srv == nil {
		return false
	}
	_ = srv.Close()
	for _, c := range open {
		_ = c.Close()
	}
	<-served
	return true
}

// shutdown closes the listener, lets requests finish until ctx ends, and then
// stops.
func (e *endpoint) shutdown(ctx context.Context) error {
	e.mu.Lock()
	srv := e.srv
	e.mu.Unlock()
	var err error
	if srv != nil {
		err = srv.Shutdown(ctx)
	}
	e.stop()
	return errors.Wrap(err, "requests still running")
}

func (e *endpoint) address() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.addr
}

func (e *endpoint) running() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.srv != nil
}

// swallowOpen makes all open connections silent and returns their number.
func (e *endpoint) swallowOpen() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	for c := range e.conns {
		c.silent.Store(true)
	}
	return len(e.conns)
}

// admit registers a connection, or reports that the limit is reached or the
// server stopped: net/http would still serve one accepted at that moment.
func (e *endpoint) admit(nc net.Conn) (*conn, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.srv == nil {
		return nil, false
	}
	if e.maxConns > 0 && len(e.conns) >= e.maxConns {
		e.refused++
		return nil, false
	}
	c := &conn{Conn: nc, e: e}
	if e.swallowNext > 0 {
		e.swallowNext--
		c.silent.Store(true)
	}
	e.conns[c] = struct{}{}
	return c, true
}

func (e *endpoint) forget(c *conn) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.conns, c)
}
