package httpw

import (
	"bufio"
	"errors"
	"io"
	"slices"
	"sync"
)

const (
	// firstStep is the memory in bytes that is taken for a body of unknown length.
	firstStep = 4 << 10
	// blockSize is the length in bytes of the blocks of a long body.
	blockSize = freeBody
	// longBody is the number of bytes from which a body without a stated length counts as too
	// long if there is no memory for more. A shorter one may have met a budget that others have used up.
	longBody = 1 << 20
)

// blocks keeps blocks of long bodies that have been joined or dropped.
var blocks = sync.Pool{New: func() any { return new([blockSize]byte) }}

// collector reads a body whose length is unknown or may be false. What is longer than a
// block is held in blocks that are used again: one slice that grows leaves several times
// its length as garbage, which comes faster than the garbage collector frees it on a busy VM.
type collector struct {
	memory *Holding
	first  []byte             // up to blockSize
	rest   []*[blockSize]byte // all but the last are full
	n      int64              // length in bytes of all
	stated bool               // the length was stated before the body
}

// room returns memory for the next bytes, at least one.
func (c *collector) room() ([]byte, error) {
	if c.n < blockSize {
		if len(c.first) == cap(c.first) {
			c.first = slices.Grow(c.first, min(max(cap(c.first), firstStep), blockSize-len(c.first)))
		}
		return c.first[len(c.first):min(cap(c.first), blockSize)], nil
	}
	// The last read may have been empty, so that the last block still is.
	if int64(len(c.rest))*blockSize == c.n-blockSize {
		if !c.memory.Grow(c.n + blockSize) {
			err := noMemory(c.n+blockSize, c.n)
			err.tooLong = !c.stated && c.n >= longBody
			return nil, err
		}
		c.rest = append(c.rest, blocks.Get().(*[blockSize]byte))
	}
	return c.rest[len(c.rest)-1][c.n%blockSize:], nil
}

// added notes that n bytes have been read into the memory that room returned.
func (c *collector) added(n int) {
	if c.n < blockSize {
		c.first = c.first[:len(c.first)+n]
	}
	c.n += int64(n)
}

// readN reads n bytes.
func (c *collector) readN(br *bufio.Reader, n int64) error {
	for n > 0 {
		p, err := c.room()
		if err != nil {
			return err
		}
		p = p[:min(n, int64(len(p)))]
		got, err := io.ReadFull(br, p)
		c.added(got)
		if err != nil {
			return cutAt(bodyAt(c.n), err)
		}
		n -= int64(len(p))
	}
	return nil
}

// readAll reads to the end of br, limit bytes at most.
func (c *collector) readAll(br *bufio.Reader, limit int64) error {
	for {
		p, err := c.room()
		if err != nil {
			return err
		}
		n, err := br.Read(p)
		c.added(n)
		switch {
		case c.n > limit:
			return newLengthError(400, bodyAt(c.n), "body longer than %d bytes", limit)
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return cutAt(bodyAt(c.n), err)
		}
	}
}

// bytes returns the body. The collector must not be used after it.
func (c *collector) bytes() []byte {
	if len(c.rest) == 0 {
		return c.first
	}
	body := make([]byte, 0, c.n)
	body = append(body, c.first...)
	for _, b := range c.rest {
		body = append(body, b[:min(c.n-int64(len(body)), blockSize)]...)
	}
	c.drop()
	return body
}

// drop returns the blocks to the pool.
func (c *collector) drop() {
	for _, b := range c.rest {
		blocks.Put(b)
	}
	c.rest = nil
}
