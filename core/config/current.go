package config

import "sync/atomic"

// Current holds the document that a daemon has in force. It only moves
// forward. It is safe for concurrent use; readers do not wait.
type Current struct {
	doc atomic.Pointer[Document]
}

// NewCurrent returns a holder of the empty document, version 0.
func NewCurrent() *Current {
	c := &Current{}
	c.doc.Store(&Document{})
	return c
}

// Document returns the document in force.
func (c *Current) Document() Document { return *c.doc.Load() }

// Version returns the version in force.
func (c *Current) Version() int64 { return c.doc.Load().version }

// Offer puts doc in force if it is newer than the current one, and reports
// whether it did.
func (c *Current) Offer(doc Document) bool {
	for {
		old := c.doc.Load()
		if doc.version <= old.version {
			return false
		}
		if c.doc.CompareAndSwap(old, &doc) {
			return true
		}
	}
}
