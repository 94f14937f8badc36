package mesh

import (
	"encoding/binary"
	"slices"
	"time"

	corelink "trefoilthread/core/link"
	"trefoilthread/io/httpw"
	"trefoilthread/io/write"
)

// maxWhole is the number of bytes up to which a frame is never sent in parts.
const maxWhole = 16 << 10

// longFrame is a frame that is sent in parts, between which shorter frames are written.
type longFrame struct {
	call    uint64
	rest    []byte // bytes that were not written yet
	memory  *httpw.Holding
	started bool // the first part was written

	reserved bool      // the pacers have counted the next part
	at       time.Time // the next part may be written from then on
}

// part is a piece of a longFrame that is written at once, as a frame of its own.
type part struct {
	head, bytes []byte
	memory      *httpw.Holding // of the last part
}

// setPeerLink sets the speed of the peer's link in Mbit/s, 0 if unknown.
func (s *sender) setPeerLink(mbit float64) {
	slower := s.uplink.slower(mbit)
	s.mu.Lock()
	defer s.mu.Unlock()
	if slower != s.toPeer {
		s.toPeer, s.pacer = slower, corelink.NewPacer(slower)
	}
}

// isLong reports whether a frame of n bytes is sent in parts, with the lock held. Peers take no
// long body of an offered call whole.
func (s *sender) isLong(k kind, n int) bool {
	return n > maxWhole && s.version.Load() >= partsVersion && (k == kindBody || corelink.IsLong(n, s.toPeer))
}

// longBytes returns how many bytes of long frames are left, with the lock held.
func (s *sender) longBytes() int {
	n := 0
	for _, f := range s.long {
		n += len(f.rest)
	}
	return n
}

// longMemory returns the memory of the long frames, with the lock held.
func (s *sender) longMemory() (held []*httpw.Holding) {
	for _, f := range s.long {
		held = append(held, f.memory)
	}
	return held
}

// takePart returns the next part that may be written now, nil if there is none, with the lock
// held. One that has to wait is taken by resume.
func (s *sender) takePart() *part {
	if len(s.long) == 0 {
		return nil
	}
	f, now := s.long[0], s.clock.Now()
	n := min(corelink.PartSize, len(f.rest))
	if !f.reserved {
		f.reserved, f.at = true, now.Add(max(s.pacer.Reserve(now, n), s.uplink.reserve(now, n)))
	}
	if wait := f.at.Sub(now); wait > 0 {
		if !s.waiting {
			s.waiting = true
			s.clock.AfterFunc(wait, s.resume)
		}
		return nil
	}
	return s.cut(f, n)
}

// cut takes the next n bytes of the first long frame, with the lock held.
func (s *sender) cut(f *longFrame, n int) *part {
	k := kindPart
	if !f.started {
		k = kindFirstPart
	}
	p := &part{head: make([]byte, frameHead), bytes: f.rest[:n]}
	binary.BigEndian.PutUint32(p.head, uint32(n))
	p.head[4] = byte(k)
	binary.BigEndian.PutUint64(p.head[5:], f.call)
	f.started, f.reserved, f.rest = true, false, f.rest[n:]
	if len(f.rest) == 0 {
		p.memory = f.memory
		s.long = slices.Delete(s.long, 0, 1)
	}
	return p
}

// writePart writes a part.
func (s *sender) writePart(p *part) {
	err := write.Within(s.nc, s.clock, writeTime, p.head, p.bytes)
	p.memory.Release()
	if err == nil {
		return
	}
	s.mu.Lock()
	s.err = err
	s.mu.Unlock()
	_ = s.nc.Close() // the reader reports the end
}

// resume writes the parts that had to wait.
func (s *sender) resume() {
	s.mu.Lock()
	s.waiting = false
	if s.writing {
		s.mu.Unlock()
		return
	}
	s.writing = true
	s.mu.Unlock()
	s.flush()
}

// withdraw takes a long frame without memory back whose last part has not been taken for
// writing, and reports whether it was so; false for nil. The peer has not got the frame then
// and must be sent a cancel, or have lost the connection.
func (s *sender) withdraw(f *longFrame) bool {
	if f == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	i := slices.Index(s.long, f)
	if i < 0 {
		return false
	}
	s.long = slices.Delete(s.long, i, i+1)
	return true
}
