package front

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"trefoilthread/io/httpw"
)

// readBuffer is the size of a connection's read buffer in bytes: most requests
// fit, and a daemon holds hundreds of connections.
const readBuffer = 2 << 10

// exchange is one request with its response, once that is there.
type exchange struct {
	req   *httpw.Request // empty for bytes that are no valid request
	came  time.Time
	resp  *httpw.Response
	ready time.Time // when the response was there
}

// conn is one connection of a caller.
type conn struct {
	s      *Server
	nc     net.Conn
	br     *bufio.Reader
	ctx    context.Context
	cancel context.CancelFunc
	room   *sync.Cond // signals a shorter queue, or that it takes no more, or the end of a write; uses mu

	mu      sync.Mutex
	queue   []*exchange // unanswered, oldest first
	writing bool
	reading bool // a request has begun to arrive
	// answered is when the latest response was written.
	answered time.Time
	closing  bool // the latest request in the queue is the last one of the connection
	ended    bool // nothing is written any more
}

func newConn(s *Server, nc net.Conn) *conn {
	ctx, cancel := context.WithCancel(s.ctx)
	c := &conn{s: s, nc: nc, br: bufio.NewReaderSize(nc, readBuffer), ctx: ctx, cancel: cancel}
	c.room = sync.NewCond(&c.mu)
	return c
}

// serve reads requests until the connection ends.
func (c *conn) serve() {
	defer c.s.remove(c)
	defer c.cancel()
	for {
		req, err := c.read()
		if err != nil {
			c.finish(err)
			return
		}
		x := &exchange{req: req, came: c.s.opts.Clock.Now()}
		if !c.enqueue(x, req.Close) {
			req.Release()
			c.awaitClose() // the connection ends with an earlier response
			return
		}
		go func() {
			resp := c.s.opts.Handle(c.ctx, req)
			req.Release() // the response's memory is released once it is written or dropped
			c.answer(x, resp)
		}()
		if req.Close {
			c.awaitClose()
			return
		}
	}
}

// read reads the next request within the bounds of idle and header time.
func (c *conn) read() (*httpw.Request, error) {
	if err := c.awaitByte(); err != nil {
		return nil, err
	}
	c.mu.Lock()
	c.reading = true
	c.mu.Unlock()
	b := c.s.opts.Bounds() // the wait may have been long
	c.setReadDeadline(b.Header)
	head, err := httpw.ReadRequestHead(c.br, b.Message)
	if err != nil {
		return nil, err
	}
	if head.HasBody() {
		c.setReadDeadline(b.Idle)
		if s := head.WantsContinue(); s != "" {
			if err := c.writeContinue(s); err != nil {
				return nil, err
			}
		}
		if err := head.ReadBody(c.br, b.Message); err != nil {
			return nil, err
		}
	}
	return &head.Request, nil
}

// awaitByte waits for the first byte of the next request, at most for the idle time that is
// in force at its end. The time counts from the latest response.
func (c *conn) awaitByte() error {
	began := c.s.opts.Clock.Now()
	for {
		c.setReadDeadline(c.idleLeft(began))
		_, err := c.br.Peek(1)
		if !isTimeout(err) || c.idleLeft(began) <= 0 {
			return err
		}
	}
}

// idleLeft returns how much longer the connection may be idle that has waited since began, 0
// if it has ended.
func (c *conn) idleLeft(began time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return 0
	}
	if c.answered.After(began) {
		began = c.answered
	}
	return c.s.opts.Bounds().Idle - c.s.opts.Clock.Since(began)
}

func isTimeout(err error) bool {
	var t net.Error
	return errors.As(err, &t) && t.Timeout()
}

// setReadDeadline bounds the next read, unless the last response has set the
// linger time.
func (c *conn) setReadDeadline(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.ended {
		c.readWithin(d)
	}
}

// readWithin bounds the reads from now on.
func (c *conn) readWithin(d time.Duration) {
	// An error means a closed connection, which the next read reports.
	_ = c.nc.SetReadDeadline(c.s.opts.Clock.Now().Add(d))
}

// enqueue accepts an exchange, waiting while too many are unanswered. It returns false if
// the connection ends with an earlier one. last means that it ends with this one.
func (c *conn) enqueue(x *exchange, last bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.queue) >= maxPipeline && !c.closing && !c.ended {
		c.room.Wait()
	}
	if c.closing || c.ended {
		return false
	}
	c.reading = false
	c.queue = append(c.queue, x)
	c.closing = last
	return true
}

// finish ends a connection on which no further request can be read. A timeout
// while requests run is no reason to end them.
func (c *conn) finish(err error) {
	var bad *httpw.MessageError
	if errors.As(err, &bad) {
		x := &exchange{req: new(httpw.Request), came: c.s.opts.Clock.Now()}
		if c.enqueue(x, true) {
			c.answer(x, c.s.opts.Refuse(bad))
		}
		c.awaitClose()
		return
	}
	if isTimeout(err) && c.markLast() {
		c.awaitClose()
		return
	}
	c.cancel()
	c.end()
	_ = c.nc.Close()
}

// markLast makes the latest request that is unanswered, or whose response is being written,
// the last one; false if there is none.
func (c *conn) markLast() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended || len(c.queue) == 0 && !c.writing {
		return false
	}
	c.closing = true
	return true
}

// awaitClose reads until the caller closes the connection or the last response
// has been written and the linger time is over. After maxUnread bytes it waits for the
// response before it reads on, so that a caller that sends without end takes no processor
// time. The close of a caller that has sent as many is seen only then.
func (c *conn) awaitClose() {
	c.mu.Lock()
	if !c.ended {
		_ = c.nc.SetReadDeadline(time.Time{}) // an error shows in the read
	}
	c.mu.Unlock()
	if _, err := io.CopyN(io.Discard, c.br, maxUnread); err == nil {
		c.awaitEnd()
		_, _ = io.Copy(io.Discard, c.br) // ends with the connection, whatever the reason
	}
	c.cancel()
	c.end()
	_ = c.nc.Close()
}

// awaitEnd waits until the last response has been written.
func (c *conn) awaitEnd() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for !c.ended {
		c.room.Wait()
	}
}

// end drops all unanswered exchanges.
func (c *conn) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drop()
}

// drop ends the connection for all unanswered exchanges, with the lock held.
func (c *conn) drop() {
	c.ended = true
	for _, x := range c.queue {
		if x.resp != nil {
			x.resp.Memory.Release()
		}
	}
	c.queue = nil
	c.room.Broadcast()
}

// isBusy reports whether a request has begun that has no response yet.
func (c *conn) isBusy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hasRequest()
}

// hasRequest is isBusy with the lock held.
func (c *conn) hasRequest() bool { return !c.ended && (len(c.queue) > 0 || c.writing || c.reading) }

// closeIfIdle closes the connection if no request has begun.
func (c *conn) closeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.ended && !c.hasRequest() {
		c.ended = true
		_ = c.nc.Close()
	}
}
