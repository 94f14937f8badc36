package httpw

import (
	"bufio"
	"io"
	"strconv"
	"strings"
)

const (
	// maxChunkLine bounds the line with the size of a chunk, in bytes.
	maxChunkLine = 1 << 10
	// maxChunkDigits is the number of digits of the longest chunk size.
	maxChunkDigits = 15
	// maxExtensions bounds the extensions of all chunks of a body, in bytes, which
	// would else come without end.
	maxExtensions = 16 << 10
	// maxTrailer bounds the header lines after the last chunk, in bytes.
	maxTrailer = 16 << 10
	// readStep bounds the memory that is taken before bytes have come, so
	// that a large announced length costs its sender as much as the reader.
	readStep = 256 << 10
)

// bodyAt is the position behind n bytes of a body.
func bodyAt(n int64) position { return position{part: PartBody, read: n} }

// readLength reads a body of n bytes.
func readLength(br *bufio.Reader, n int64, memory *Holding) ([]byte, error) {
	if n == 0 {
		return nil, nil
	}
	if !memory.canHold(n) { // reading it would be in vain
		err := noMemory(n, 0)
		err.tooLong = true
		return nil, err
	}
	if n > readStep {
		c := &collector{memory: memory, stated: true}
		defer c.drop()
		if err := c.readN(br, n); err != nil {
			return nil, err
		}
		return c.bytes(), nil
	}
	if err := memory.grow(n, 0); err != nil {
		return nil, err
	}
	body := make([]byte, n)
	if got, err := io.ReadFull(br, body); err != nil {
		return nil, cutAt(bodyAt(int64(got)), err)
	}
	return body, nil
}

// readChunked reads a chunked body of at most limit bytes and drops its
// trailers.
func readChunked(br *bufio.Reader, isResponse bool, limit int64, memory *Holding) ([]byte, error) {
	c := &collector{memory: memory}
	defer c.drop()
	extensions := 0
	h := head{position: position{part: PartChunk}, br: br, name: "chunk line", strict: true, isResponse: isResponse}
	for {
		h.left = maxChunkLine
		line, err := h.line()
		if err != nil {
			return nil, err
		}
		if extensions += max(len(line)-maxChunkDigits, 0); extensions > maxExtensions {
			return nil, newLengthError(400, h.position, "chunk extensions longer than %d bytes", maxExtensions)
		}
		size, ok := parseChunkSize(line)
		if !ok {
			return nil, h.refuse(400, "malformed chunk size")
		}
		if size == 0 {
			h.left, h.name, h.position = maxTrailer, "trailer", position{part: PartTrailer}
			if _, err := h.fields(); err != nil {
				return nil, err
			}
			return c.bytes(), nil
		}
		if c.n+size > limit {
			return nil, newLengthError(413, bodyAt(c.n), "body longer than %d bytes", limit)
		}
		if err := c.readN(br, size); err != nil {
			return nil, err
		}
		end, err := h.line()
		if err != nil {
			return nil, err
		}
		if end != "" {
			return nil, h.refuse(400, "chunk longer than its size")
		}
	}
}

// parseChunkSize reads a chunk size; an extension after it is ignored.
func parseChunkSize(line string) (int64, bool) {
	digits, _, _ := strings.Cut(line, ";")
	digits = strings.TrimRight(digits, " \t")
	if digits == "" || len(digits) > maxChunkDigits {
		return 0, false
	}
	n, err := strconv.ParseUint(digits, 16, 60)
	return int64(n), err == nil && digits[0] != '+'
}
