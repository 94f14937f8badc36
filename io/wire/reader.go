package wire

import (
	"bufio"
	"encoding/binary"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// Reader reads frames.
type Reader struct {
	r *bufio.Reader
}

// NewReader returns a reader of frames from r.
func NewReader(r io.Reader) *Reader {
	return &Reader{r: bufio.NewReaderSize(r, 4<<10)}
}

// Next reads the type and payload length of the next frame. The payload must
// be consumed with Message, Payload or a BodyReader before the next call.
func (r *Reader) Next() (Type, int, error) {
	var h [headerSize]byte
	if _, err := io.ReadFull(r.r, h[:]); err != nil {
		return 0, 0, err
	}
	t, n := Type(h[0]), int(binary.BigEndian.Uint32(h[1:]))
	switch {
	case t < Head || t > Control:
		return 0, 0, errors.Wrapf(ErrFrame, "type %d", t)
	case t == Body && n > MaxBody, n > MaxMessage:
		return 0, 0, errors.Wrapf(ErrFrame, "type %d with %d bytes", t, n)
	case t == End && n != 8:
		return 0, 0, errors.Wrapf(ErrFrame, "end with %d bytes", n)
	}
	return t, n, nil
}

// Message reads a payload of n bytes as CBOR into m.
func (r *Reader) Message(n int, m any) error {
	p := make([]byte, n)
	if _, err := io.ReadFull(r.r, p); err != nil {
		return err
	}
	if err := cbor.Unmarshal(p, m); err != nil {
		return errors.Mark(errors.Wrap(err, "decode message"), ErrFrame)
	}
	return nil
}

// Payload returns a reader of a payload of n bytes.
func (r *Reader) Payload(n int) io.Reader {
	return io.LimitReader(r.r, int64(n))
}
