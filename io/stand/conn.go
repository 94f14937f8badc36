package stand

import (
	"net"
	"sync/atomic"
)

// conn is a server's connection that can become silent: it stays open, takes
// every byte and answers none, as after a fault in a middlebox.
type conn struct {
	net.Conn
	e      *endpoint
	silent atomic.Bool
}

// Read discards what arrives while the connection is silent.
func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

// Write pretends success while the connection is silent.
func (c *conn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close closes the connection and frees its place.
func (c *conn) Close() error {
	c.e.forget(c)
	return c.Conn.Close()
}
