package claims

import (
	"slices"
	"time"
)

// keyState is what the owner knows of a claimed key.
type keyState uint8

const (
	pending keyState = iota // its claim is not known to be durable
	running                 // or told to run
	known                   // its response is retained
	unknown                 // it may have run
)

// entry is kept small, because the table holds up to 200,000 of them.
type entry struct {
	at    uint32 // seconds after base, rounded up
	state keyState
}

type stamped struct {
	hash Hash
	at   uint32
}

// table holds the keys of one partition on the owner's monotonic clock.
type table struct {
	base      time.Time
	retention time.Duration
	keys      map[Hash]entry
	order     []stamped // by time; may hold keys that are no longer in keys
	tickets   map[Hash]uint64

	responses map[Hash][]byte
	kept      []Hash // order of responses
	bytes     int
	maxBytes  int
}

func newTable(now time.Time, s Spec) *table {
	return &table{
		base: now, retention: s.Retention, maxBytes: s.MaxResponses, keys: map[Hash]entry{},
		tickets: map[Hash]uint64{}, responses: map[Hash][]byte{},
	}
}

// put adds a key, or restarts its retention.
func (t *table) put(now time.Time, h Hash, s keyState) {
	at := uint32((now.Sub(t.base) + time.Second - 1) / time.Second)
	t.keys[h] = entry{at: at, state: s}
	t.order = append(t.order, stamped{hash: h, at: at})
}

func (t *table) set(h Hash, s keyState) {
	if e, ok := t.keys[h]; ok {
		e.state = s
		t.keys[h] = e
	}
}

// forget removes a key that has expired or has not run.
func (t *table) forget(h Hash) {
	delete(t.keys, h)
	delete(t.tickets, h)
	t.bytes -= len(t.responses[h])
	delete(t.responses, h)
}

// expire removes the keys whose retention is over.
func (t *table) expire(now time.Time) {
	limit := int64(now.Sub(t.base)-t.retention) / int64(time.Second)
	n := 0
	for n < len(t.order) && int64(t.order[n].at) <= limit {
		s := t.order[n]
		n++
		e, ok := t.keys[s.hash]
		switch {
		case !ok || e.at != s.at:
		case e.state <= running:
			t.put(now, s.hash, e.state) // not before it has ended
		default:
			t.forget(s.hash)
		}
	}
	t.order = t.order[n:]
}

// keep retains a response and drops the oldest ones beyond the bound.
func (t *table) keep(h Hash, response []byte) {
	if len(response) > t.maxBytes {
		t.set(h, unknown)
		return
	}
	t.set(h, known)
	t.responses[h] = slices.Clone(response)
	t.kept = append(t.kept, h)
	t.bytes += len(response)
	for t.bytes > t.maxBytes {
		old := t.kept[0]
		t.kept = t.kept[1:]
		if r, ok := t.responses[old]; ok && old != h {
			t.bytes -= len(r)
			delete(t.responses, old)
			t.set(old, unknown)
		}
	}
	// Expired keys leave their place in kept.
	if len(t.kept) > 2*len(t.responses)+64 {
		t.kept = slices.DeleteFunc(t.kept, func(h Hash) bool { _, ok := t.responses[h]; return !ok })
	}
}
