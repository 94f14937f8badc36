package daemon

import (
	"sync"

	"trefoilthread/core/member"
	"trefoilthread/core/types"
	"trefoilthread/io/wire"
)

// encoder encodes what members are told in one round. Most members know the
// same, so each step is encoded once: with 520 members a round would otherwise
// encode some 16 MB.
type encoder struct {
	mu   sync.Mutex
	data map[step]encoded
}

// step is the way from one summary of a data centre to another.
type step struct {
	dc                    types.DataCentre
	fromEpoch, fromNumber uint64
	toEpoch, toNumber     uint64
}

type encoded struct {
	bytes []byte
	delta bool
}

// fill puts into msg the change from old to s, or all of s if the receiver
// knows nothing yet or the change is not smaller.
func (e *encoder) fill(msg *wire.Members, old, s member.Summary) error {
	k := step{
		dc: s.DataCentre(), fromEpoch: old.Epoch(), fromNumber: old.Sequence(),
		toEpoch: s.Epoch(), toNumber: s.Sequence(),
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	got, ok := e.data[k]
	if !ok {
		var err error
		if got, err = encode(old, s); err != nil {
			return err
		}
		e.data[k] = got
	}
	if got.delta {
		msg.Delta = got.bytes
	} else {
		msg.Summary = got.bytes
	}
	return nil
}

func encode(old, s member.Summary) (encoded, error) {
	if old.Sequence() > 0 {
		if dl := s.DeltaFrom(old); dl.Len() < s.Len() {
			b, err := dl.Encode()
			return encoded{bytes: b, delta: true}, err
		}
	}
	b, err := s.Encode()
	return encoded{bytes: b}, err
}
