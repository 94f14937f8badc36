package wire

import (
	"encoding/binary"
	"io"

	"github.com/cockroachdb/errors"
)

// BodyReader reads the body of a stream up to its End frame. Read returns
// io.EOF only when the whole body was received; a stream that ends early gives
// ErrTruncated, a Fail frame gives its *Failure.
type BodyReader struct {
	r     *Reader
	cur   io.Reader
	left  int
	total uint64
	err   error
}

// NewBodyReader returns a reader of the body that follows on r.
func NewBodyReader(r *Reader) *BodyReader {
	return &BodyReader{r: r}
}

// Read implements io.Reader.
func (b *BodyReader) Read(p []byte) (int, error) {
	for b.err == nil && b.left == 0 {
		b.err = b.next()
	}
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.cur.Read(p[:min(len(p), b.left)])
	b.left -= n
	b.total += uint64(n)
	if err != nil {
		b.err = truncated(err)
		return n, b.err
	}
	return n, nil
}

func (b *BodyReader) next() error {
	t, n, err := b.r.Next()
	if err != nil {
		return truncated(err)
	}
	switch t {
	case Body:
		b.cur, b.left = b.r.Payload(n), n
		return nil
	case End:
		var p [8]byte
		if _, err := io.ReadFull(b.r.Payload(n), p[:]); err != nil {
			return truncated(err)
		}
		if want := binary.BigEndian.Uint64(p[:]); want != b.total {
			return errors.Wrapf(ErrTruncated, "got %d bytes of %d", b.total, want)
		}
		return io.EOF
	case Fail:
		var f Failure
		if err := b.r.Message(n, &f); err != nil {
			return truncated(err)
		}
		return &f
	}
	return errors.Wrapf(ErrFrame, "type %d inside a body", t)
}

// truncated keeps the end of a stream from looking like the end of a body.
func truncated(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return errors.Wrap(ErrTruncated, "stream ended without end frame")
	}
	return err
}
