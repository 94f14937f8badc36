package mesh

import (
	"encoding/binary"
	"slices"

	"github.com/cockroachdb/errors"

	"trefoilthread/io/httpw"
)

// assembler reassembles the frames that come in parts over a connection. A sender sends the
// parts of one frame after the other; the first part of the next one ends a frame that was
// given up.
type assembler struct {
	budget *httpw.Budget
	// wantsBody reports whether a body of n bytes of an offered call is to be kept. It may be
	// nil.
	wantsBody func(call uint64, n int) bool

	frame    *frame // being put together, nil if there is none
	want     int    // length of its payload
	received int    // bytes of the payload that have come
}

// add takes a part and returns the frame once it is complete.
func (a *assembler) add(p frame) (whole frame, ok bool, err error) {
	if p.kind == kindFirstPart {
		a.drop()
		if p.payload, err = a.begin(p.payload); err != nil {
			return frame{}, false, err
		}
	}
	if a.frame == nil {
		return frame{}, false, nil // the rest of a frame that was canceled
	}
	n := len(p.payload)
	if a.received += n; a.received > a.want {
		return frame{}, false, errors.Newf("mesh: frame of %d bytes, %d announced", a.received, a.want)
	}
	a.keep(p.payload)
	if a.received < a.want {
		return frame{}, false, nil
	}
	whole, a.frame = *a.frame, nil
	return whole, true, nil
}

// begin reads the head of a frame and returns what follows it.
func (a *assembler) begin(p []byte) ([]byte, error) {
	if len(p) < frameHead {
		return nil, errors.New("mesh: first part without a head")
	}
	f := &frame{kind: kind(p[4]), call: binary.BigEndian.Uint64(p[5:])}
	n := int(binary.BigEndian.Uint32(p))
	switch f.kind {
	case kindCall, kindAnswer:
		f.memory, _ = a.budget.Hold(0)
	case kindBody:
		if a.wantsBody == nil || !a.wantsBody(f.call, n) {
			f.left = n
		}
	case kindNotice, kindNews:
	default:
		return nil, errors.Newf("mesh: frame of kind %d in parts", f.kind)
	}
	if n == 0 || n > maxFrame {
		return nil, errors.Newf("mesh: frame of %d bytes in parts, allowed %d", n, maxFrame)
	}
	a.frame, a.want, a.received = f, n, 0
	return p[frameHead:], nil
}

// keep appends bytes to the frame. Memory is taken as they come: a peer may stall.
func (a *assembler) keep(p []byte) {
	f := a.frame
	if f.left > 0 {
		return
	}
	if !f.memory.Grow(int64(len(f.payload) + len(p))) {
		f.memory.Release()
		f.payload, f.left = nil, a.want
		return
	}
	if len(f.payload)+len(p) > cap(f.payload) {
		f.payload = slices.Grow(f.payload, min(a.want-len(f.payload), payloadStep))
	}
	f.payload = append(f.payload, p...)
}

// cancel drops the frame if it belongs to a call.
func (a *assembler) cancel(call uint64) {
	if a.frame != nil && a.frame.call == call {
		a.drop()
	}
}

// drop drops the frame.
func (a *assembler) drop() {
	if a.frame != nil {
		a.frame.memory.Release()
		a.frame = nil
	}
}
