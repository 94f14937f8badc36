package wire

import (
	"encoding/binary"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// Writer writes frames. It counts the body so that End can state its length.
type Writer struct {
	w     io.Writer
	total uint64
	buf   []byte
}

// NewWriter returns a writer of frames to w.
func NewWriter(w io.Writer) *Writer {
	return &Writer{w: w}
}

// Message writes m as one CBOR frame of type t.
func (w *Writer) Message(t Type, m any) error {
	p, err := cbor.Marshal(m)
	if err != nil {
		return errors.Wrap(err, "encode message")
	}
	if len(p) > MaxMessage {
		return errors.Wrapf(ErrFrame, "message of %d bytes, allowed %d", len(p), MaxMessage)
	}
	return w.frame(t, p)
}

// Body writes p as body frames of at most MaxBody bytes.
func (w *Writer) Body(p []byte) error {
	for len(p) > 0 {
		n := min(len(p), MaxBody)
		if err := w.frame(Body, p[:n]); err != nil {
			return err
		}
		w.total += uint64(n)
		p = p[n:]
	}
	return nil
}

// End writes the End frame with the number of body bytes written so far.
func (w *Writer) End() error {
	var p [8]byte
	binary.BigEndian.PutUint64(p[:], w.total)
	return w.frame(End, p[:])
}

// frame writes header and payload in one call, so that a small frame is one
// packet.
func (w *Writer) frame(t Type, p []byte) error {
	w.buf = append(w.buf[:0], byte(t), 0, 0, 0, 0)
	binary.BigEndian.PutUint32(w.buf[1:], uint32(len(p)))
	w.buf = append(w.buf, p...)
	_, err := w.w.Write(w.buf)
	return err
}
