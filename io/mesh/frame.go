package mesh

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"trefoilthread/io/httpw"
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
	kindWelcome
	kindTokenRequest
	kindTokens

	lastKind = kindTokens
)

// The kinds of version 2. The numbers between lastKind and kindGrant are free for other
// messages.
const (
	kindGrant     kind = iota + 30
	kindBody           // body of an offered call
	kindFirstPart      // head and first bytes of a frame
	kindPart           // next bytes of the frame that the latest kindFirstPart began
)

// isKnown reports whether this version reads the payloads of frames of a kind.
func (k kind) isKnown() bool {
	return k >= kindHello && k <= lastKind || k >= kindGrant && k <= kindPart
}

// maxPayload returns the bound of the payload in bytes.
func (k kind) maxPayload() int {
	switch k {
	case kindCall, kindAnswer, kindNotice, kindNews:
		return maxFrame
	case kindBody, kindFirstPart, kindPart:
		return maxWhole
	}
	return maxControlFrame
}

const (
	// frameHead is the size of a frame's head in bytes: payload length, kind,
	// number of the call.
	frameHead = 4 + 1 + 8
	// maxFrame bounds a payload in bytes: the largest body of a configuration
	// that the platform accepts, and its header.
	maxFrame = 80 << 20
	// maxControlFrame bounds the payload of a frame without a body, list or document.
	maxControlFrame = 1 << 20
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
	memory  *httpw.Holding // of the payload
	left    int            // bytes of a payload that was left out for lack of memory
}

// encoder writes into the buffer of a connection: a second copy of a long body would
// need as much memory again.
var encoder = newEncoder()

func newEncoder() cbor.UserBufferEncMode {
	m, err := cbor.EncOptions{}.UserBufferEncMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return m
}

// decoder accepts text that isn't UTF-8: header values needn't be.
var decoder = newDecoder()

func newDecoder() cbor.DecMode {
	m, err := cbor.DecOptions{UTF8: cbor.UTF8DecodeInvalid}.DecMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return m
}

// appendFrame appends a frame with the CBOR of msg, which may be nil.
func appendFrame(buf []byte, k kind, call uint64, msg any) ([]byte, error) {
	var head [frameHead]byte
	head[4] = byte(k)
	binary.BigEndian.PutUint64(head[5:], call)
	if msg == nil {
		return append(buf, head[:]...), nil
	}
	if raw, ok := msg.([]byte); ok {
		binary.BigEndian.PutUint32(head[:], uint32(len(raw)))
		return append(append(buf, head[:]...), raw...), nil
	}
	out := bytes.NewBuffer(buf)
	if n := bodyLen(msg); n > maxShortBody {
		out.Grow(n + maxShortBody)
	}
	_, _ = out.Write(head[:]) // a Buffer returns no error
	if err := encoder.MarshalToBuffer(msg, out); err != nil {
		return buf, errors.Wrapf(err, "mesh: encode frame of kind %d", k)
	}
	all := out.Bytes()
	n := len(all) - len(buf) - frameHead
	if n > maxFrame {
		return buf, errors.Newf("mesh: payload of %d bytes, allowed %d", n, maxFrame)
	}
	binary.BigEndian.PutUint32(all[len(buf):], uint32(n))
	return all, nil
}

// bodyLen returns the length in bytes of the body of a message.
func bodyLen(msg any) int {
	switch m := msg.(type) {
	case *CallHead:
		return len(m.Body)
	case *Answer:
		return len(m.Body)
	}
	return 0
}

// readFrame reads the next frame. It calls progress after each part of a long payload. The
// payloads of calls and answers take memory from a budget; those for which there is none are
// left out.
func readFrame(br *bufio.Reader, budget *httpw.Budget, progress func()) (frame, error) {
	var head [frameHead]byte
	if _, err := io.ReadFull(br, head[:]); err != nil {
		return frame{}, err
	}
	n := int(binary.BigEndian.Uint32(head[:4]))
	if n > maxFrame {
		return frame{}, errors.Newf("mesh: frame of %d bytes, allowed %d", n, maxFrame)
	}
	f := frame{kind: kind(head[4]), call: binary.BigEndian.Uint64(head[5:])}
	switch {
	case !f.kind.isKnown():
		return f, discard(br, n, progress) // from a later version
	case n > f.kind.maxPayload():
		return frame{}, errors.Newf("mesh: frame of kind %d with %d bytes, allowed %d", f.kind, n, f.kind.maxPayload())
	}
	if f.kind == kindCall || f.kind == kindAnswer {
		f.memory, _ = budget.Hold(0)
	}
	if err := f.read(br, n, progress); err != nil {
		f.memory.Release()
		return frame{}, err
	}
	return f, nil
}

// read reads a payload of n bytes. Memory is taken as they come: a peer may stall.
func (f *frame) read(br *bufio.Reader, n int, progress func()) error {
	for len(f.payload) < n {
		at := len(f.payload)
		if !f.memory.Grow(int64(min(n, at+payloadStep))) {
			f.memory.Release()
			f.payload, f.left = nil, n
			return discard(br, n-at, progress)
		}
		f.payload = append(f.payload, make([]byte, min(n-at, payloadStep))...)
		if err := readParts(br, f.payload[at:], progress); err != nil {
			return err
		}
	}
	return nil
}

// discard skips n bytes. It calls progress after each progressStep bytes.
func discard(br *bufio.Reader, n int, progress func()) error {
	for n > 0 {
		skipped, err := br.Discard(min(n, progressStep))
		if err != nil {
			return err
		}
		n -= skipped
		progress()
	}
	return nil
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
	if err := decoder.Unmarshal(f.payload, msg); err != nil {
		return errors.Wrapf(err, "mesh: decode frame of kind %d", f.kind)
	}
	return nil
}
