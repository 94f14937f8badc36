package claims

import (
	"slices"
	"time"
)

// keyState is what the owner knows about the request with a claimed key.
type keyState uint8

const (
	claiming  keyState = iota // the claim is not known to be durable
	running                   // the claim is durable and the request was told to run
	responded                 // the response is retained
	unknown                   // the request may have run; no response is retained
)

// entry describes a claimed key. It is small because a table holds up to 200,000
// entries by default.
type entry struct {
	at    uint32 // claim time in seconds after table.base, rounded up
	state keyState
}

// claimTime is a key with the time of its claim, see entry.at.
type claimTime struct {
	hash Hash
	at   uint32
}

// table holds the claimed keys of one partition with their states and retained
// responses. Times are of the owner's monotonic clock.
type table struct {
	base      time.Time
	retention time.Duration
	keys      map[Hash]entry
	byTime    []claimTime     // oldest first; may hold keys that are not in keys any more
	tickets   map[Hash]uint64 // tickets of the running keys

	responses        map[Hash][]byte
	responseOrder    []Hash // oldest response first; may hold keys that are not in responses any more
	responseBytes    int
	maxResponseBytes int
}

func newTable(now time.Time, s Spec) *table {
	return &table{
		base: now, retention: s.Retention, maxResponseBytes: s.MaxResponseBytes, keys: map[Hash]entry{},
		tickets: map[Hash]uint64{}, responses: map[Hash][]byte{},
	}
}

// put adds a key in state s, or restarts its retention time.
func (t *table) put(now time.Time, h Hash, s keyState) {
	at := uint32((now.Sub(t.base) + time.Second - 1) / time.Second)
	t.keys[h] = entry{at: at, state: s}
	t.byTime = append(t.byTime, claimTime{hash: h, at: at})
}

func (t *table) setState(h Hash, s keyState) {
	if e, ok := t.keys[h]; ok {
		e.state = s
		t.keys[h] = e
	}
}

// forget removes a key that has expired or whose request has not run.
func (t *table) forget(h Hash) {
	delete(t.keys, h)
	delete(t.tickets, h)
	t.responseBytes -= len(t.responses[h])
	delete(t.responses, h)
}

// expire removes the keys whose retention time is over.
func (t *table) expire(now time.Time) {
	limit := int64(now.Sub(t.base)-t.retention) / int64(time.Second)
	n := 0
	for n < len(t.byTime) && int64(t.byTime[n].at) <= limit {
		s := t.byTime[n]
		n++
		e, ok := t.keys[s.hash]
		switch {
		case !ok || e.at != s.at:
		case e.state <= running:
			t.put(now, s.hash, e.state) // a claim or run in progress does not expire
		default:
			t.forget(s.hash)
		}
	}
	t.byTime = t.byTime[n:]
}

// retainResponse stores the response of a key and drops the oldest responses
// beyond maxResponseBytes. Keys without a response become unknown, also h itself
// if its response alone exceeds the bound.
func (t *table) retainResponse(h Hash, response []byte) {
	if len(response) > t.maxResponseBytes {
		t.setState(h, unknown)
		return
	}
	t.setState(h, responded)
	t.responses[h] = slices.Clone(response)
	t.responseOrder = append(t.responseOrder, h)
	t.responseBytes += len(response)
	for t.responseBytes > t.maxResponseBytes {
		old := t.responseOrder[0]
		t.responseOrder = t.responseOrder[1:]
		if r, ok := t.responses[old]; ok && old != h {
			t.responseBytes -= len(r)
			delete(t.responses, old)
			t.setState(old, unknown)
		}
	}
	// Keys that have expired are still in responseOrder; remove them from time to
	// time.
	if len(t.responseOrder) > 2*len(t.responses)+64 {
		t.responseOrder = slices.DeleteFunc(t.responseOrder, func(h Hash) bool { _, ok := t.responses[h]; return !ok })
	}
}
