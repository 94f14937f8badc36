package mesh

import (
	"bufio"
	"encoding/binary"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// kind is the type of a frame.
type kind uint8

const (
	kindHello kind = iota + 1
	kindCall
	kindCancel
	kindAnswer
	kindNotice
	kindPing
	kindPong
	kindQuery
	kindNews
)

const (
	// frameHead is the size of a frame's head in bytes: payload length, kind,
	// number of the call.
	frameHead = 4 + 1 + 8
	// maxFrame bounds a payload in bytes: the largest body of a configuration
	// that the platform accepts, and its header.
	maxFrame = 80 << 20
	// payloadStep bounds the memory that is taken before bytes have come.
	payloadStep = 256 << 10
	// progressStep is the number of bytes of a payload after which its reader notes
	// progress.
	progressStep = 16 << 10
)

// frame is one message on the wire.
type frame struct {
	kind    kind
	call    uint64
	payload []byte
}

// appendFrame appends a frame with the CBOR of msg, which may be nil.
func appendFrame(buf []byte, k kind, call uint64, msg any) ([]byte, error) {
	var payload []byte
	if msg != nil {
		var err error
		if payload, err = cbor.Marshal(msg); err != nil {
			return buf, errors.Wrapf(err, "mesh: encode frame of kind %d", k)
		}
	}
	if len(payload) > maxFrame {
		return buf, errors.Newf("mesh: payload of %d bytes, allowed %d", len(payload), maxFrame)
	}
	buf = binary.BigEndian.AppendUint32(buf, uint32(len(payload)))
	buf = append(buf, byte(k))
	buf = binary.BigEndian.AppendUint64(buf, call)
	return append(buf, payload...), nil
}

// readFrame reads the next frame. It calls progress after each part of a long payload.
func readFrame(br *bufio.Reader, progress func()) (frame, error) {
	var head [frameHead]byte
	if _, err := io.ReadFull(br, head[:]); err != nil {
		return frame{}, err
	}
	n := int(binary.BigEndian.Uint32(head[:4]))
	if n > maxFrame {
		return frame{}, errors.Newf("mesh: frame of %d bytes, allowed %d", n, maxFrame)
	}
	f := frame{kind: kind(head[4]), call: binary.BigEndian.Uint64(head[5:])}
	for len(f.payload) < n {
		at := len(f.payload)
		f.payload = append(f.payload, make([]byte, min(n-at, payloadStep))...)
		if err := readParts(br, f.payload[at:], progress); err != nil {
			return frame{}, err
		}
	}
	return f, nil
}

// readParts fills p. It calls progress after each progressStep bytes.
func readParts(br *bufio.Reader, p []byte, progress func()) error {
	for len(p) > progressStep {
		if _, err := io.ReadFull(br, p[:progressStep]); err != nil {
			return err
		}
		p = p[progressStep:]
		progress()
	}
	_, err := io.ReadFull(br, p)
	return err
}

// decode reads the payload of a frame into msg.
func (f frame) decode(msg any) error {
	if err := cbor.Unmarshal(f.payload, msg); err != nil {
		return errors.Wrapf(err, "mesh: decode frame of kind %d", f.kind)
	}
	return nil
}
