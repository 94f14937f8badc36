package whole_test

import (
	"errors"
	"time"
)

const (
	sameCentre  = 200 * time.Microsecond
	otherCentre = 1500 * time.Microsecond
	// stallAfter is how long a stream without progress is kept.
	stallAfter = 250 * time.Millisecond
)

var (
	errNotSent = errors.New("not sent")
	errBroken  = errors.New("stream broken")
)

// fault is what happens to one message.
type fault int

const (
	none fault = iota
	notSent
	lostRequest
	late
	lostReply
	lateReply
	repeated
	faultKinds
)

// faults are the faults of the next messages, in their order.
type faults struct {
	queue []fault
	met   [faultKinds]int
}

func (f *faults) next() fault {
	if len(f.queue) == 0 {
		return none
	}
	k := f.queue[0]
	f.queue = f.queue[1:]
	f.met[k]++
	return k
}

// stream is one request between two processes. A request is never repeated by
// the transport; its answer may come late, twice, or after the sender has given
// the stream up.
type stream struct {
	answered bool
	broken   func(time.Duration)
}

// rpc sends a request from a process to the daemon at a node. done gets the
// value that serve passes to answer, or errNotSent, which proves that nothing
// arrived, or errBroken. It may be called more than once.
func (w *world) rpc(from *proc, to *node, serve func(p *proc, answer func(any)), done func(any, error)) {
	way := otherCentre
	if from.n.dc == to.dc {
		way = sameCentre
	}
	f := w.netFaults.next()
	if w.cut && from.n.dc != to.dc {
		f = lostRequest
	}
	end := func(d time.Duration, v any, err error) { w.after(from, d, func() { done(v, err) }) }
	s := &stream{broken: func(d time.Duration) { end(d, nil, errBroken) }}
	request := way
	switch f {
	case notSent:
		end(way, nil, errNotSent)
		return
	case lostRequest:
		s.broken(stallAfter)
		return
	case late:
		request = 2 * stallAfter
		s.broken(stallAfter)
	}
	w.after(nil, request, func() {
		p := to.proc
		if p == nil {
			end(way, nil, errNotSent)
			return
		}
		p.streams = append(p.streams, s)
		if p.paused {
			s.broken(stallAfter)
		}
		w.after(p, 0, func() {
			serve(p, func(v any) {
				if s.answered {
					w.oracle.fail("a stream to %s was answered twice", to.id)
				}
				s.answered = true
				switch f {
				case lostReply:
					s.broken(stallAfter)
				case lateReply:
					s.broken(stallAfter)
					end(2*stallAfter, v, nil)
				case repeated:
					end(way, v, nil)
					end(3*way, v, nil)
				default:
					end(way, v, nil)
				}
			})
		})
	})
}

// breakStreams ends the streams to a process that stopped responding.
func (p *proc) breakStreams() {
	for _, s := range p.streams {
		if !s.answered {
			s.broken(stallAfter)
		}
	}
	p.streams = nil
}
