package local

import (
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"trefoilthread/io/httpw"
)

// sweepInterval is how often idle connections are checked. A request checks only the one
// that it takes, and takes the most recently used one.
const sweepInterval = time.Second

// sweep closes the idle connections whose time is over, that the target has closed or on
// which it has sent bytes, which would stay in the socket. It runs again while others are
// idle.
func (c *Client) sweep() {
	c.mu.Lock()
	now := c.opts.Clock.Now()
	var old []*conn
	c.idle = slices.DeleteFunc(c.idle, func(cn *conn) bool {
		isOld := !now.Before(cn.until) || !isQuiet(cn)
		if isOld {
			old = append(old, cn)
		}
		return isOld
	})
	c.isSweeping = len(c.idle) > 0
	if c.isSweeping {
		c.opts.Clock.AfterFunc(sweepInterval, c.sweep)
	}
	c.mu.Unlock()
	for _, cn := range old {
		_ = cn.nc.Close()
	}
}

// idleTime returns how long a connection may stay without a request after
// resp.
func idleTime(resp *httpw.Response, usual time.Duration) time.Duration {
	for part := range strings.SplitSeq(resp.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		n, err := strconv.Atoi(value)
		if err != nil || n < 0 {
			return 0 // an unreadable time promises nothing
		}
		return min(usual, time.Duration(n)*time.Second-idleMargin)
	}
	return usual
}

// isQuiet reports whether a kept connection is open and has no unread bytes,
// which would be an extra response.
func isQuiet(cn *conn) bool {
	sc, ok := cn.nc.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN
	})
	return err == nil && quiet
}
