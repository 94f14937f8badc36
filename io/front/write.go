package front

import (
	"net"

	"trefoilthread/io/httpw"
	"trefoilthread/io/write"
)

// answer stores a response and writes all responses that are due. Only one
// goroutine of a connection writes at a time; the others leave theirs to it.
func (c *conn) answer(x *exchange, resp *httpw.Response) {
	c.mu.Lock()
	defer c.mu.Unlock()
	x.resp, x.ready = resp, c.s.opts.Clock.Now()
	if c.ended {
		resp.Memory.Release()
		return
	}
	if c.writing {
		return
	}
	c.writing = true
	for !c.ended && len(c.queue) > 0 && c.queue[0].resp != nil {
		c.writeNext()
	}
	c.writing = false
	c.room.Signal()
}

// writeNext writes the oldest responses that are there in one go. It is called
// with the lock held and gives it up while it writes. Only the response to the last request
// may close the connection: callers send what lies behind it again.
func (c *conn) writeNext() {
	var out message
	n := 0
	for ; n < len(c.queue) && c.queue[n].resp != nil; n++ {
		x := c.queue[n]
		// The response may be shared; only the copy says how this connection
		// goes on.
		resp := *x.resp
		c.closing = c.closing || resp.Close || c.s.draining.Load()
		resp.Close = c.closing && n == len(c.queue)-1
		out.add(&resp, x.req.Method)
	}
	due := c.queue[:n]
	c.queue = c.queue[n:]
	c.room.Signal()
	c.mu.Unlock()
	err := out.writeTo(c.nc, c.s.opts.Clock)
	for _, x := range due {
		x.resp.Memory.Release()
	}
	c.noteHeld(due)
	c.mu.Lock()
	c.answered = c.s.opts.Clock.Now()
	if err != nil || c.closing && len(c.queue) == 0 {
		c.drop()
		c.shut(err)
	}
}

// noteHeld reports the responses that were ready before the first one of those
// that are written now.
func (c *conn) noteHeld(due []*exchange) {
	now := c.s.opts.Clock.Now()
	first := due[0]
	for _, x := range due[1:] {
		if x.ready.Before(first.ready) {
			c.s.opts.Held(Hold{Req: x.req, Status: x.resp.Status, By: first.req, Came: x.came, Held: now.Sub(x.ready)})
		}
	}
}

// writeContinue writes an interim response to the request that is being read, unless earlier
// ones are unanswered: it would come before or within their responses. It waits for the end of
// a response that is being written: its caller may have it already, and waits for this one.
func (c *conn) writeContinue(line string) error {
	c.mu.Lock()
	for c.writing && len(c.queue) == 0 && !c.ended {
		c.room.Wait()
	}
	if c.ended || c.writing || len(c.queue) > 0 {
		c.mu.Unlock()
		return nil
	}
	c.writing = true // only this goroutine adds to the queue, so no response waits for the end
	c.mu.Unlock()
	err := write.Within(c.nc, c.s.opts.Clock, writeTime, []byte(line))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = false
	return err
}

// shut ends the sending side after the last response and leaves the reader the
// linger time to see the caller's close. After a failed write the requests that are still
// unanswered are canceled: their caller has gone, or takes no more bytes.
func (c *conn) shut(err error) {
	c.cancel()
	tcp, ok := c.nc.(*net.TCPConn)
	if err != nil || !ok || tcp.CloseWrite() != nil {
		_ = c.nc.Close()
		return
	}
	c.readWithin(lingerTime)
}
