package crash

import (
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"

	"trefoilthread/core/poison"
	"trefoilthread/core/types"
	"trefoilthread/io/mesh"
)

// Expiry is how long one death counts against a request, and the length of its first
// quarantine. Callers repeat a request within seconds, and different requests may have the
// same fingerprint.
const Expiry = 30 * time.Second

// Options configure Suspects. All fields are required.
type Options struct {
	Self  string // name of this agent
	Boot  uint64 // start of this agent
	Clock clockwork.Clock
	Log   log.Interface
	// Broadcast sends a notice to all other agents, without waiting.
	Broadcast func(n *mesh.Notice)
}

// Suspects tracks the requests that may crash targets. A request that was running at two
// deaths of targets, without a good answer since, is refused. After its quarantine it runs
// only as a trial, without a retry, until it has got a good answer. It is safe for concurrent use.
type Suspects struct {
	opts Options

	mu    sync.Mutex
	table *poison.Table
}

// New returns suspects of an agent at its start, with no request among them.
func New(o Options) *Suspects {
	return &Suspects{
		opts:  o,
		table: poison.New(poison.Options{Target: types.TargetID(o.Self), Incarnation: o.Boot, Expiry: Expiry}),
	}
}

// Fingerprint identifies the content of a request.
func Fingerprint(service, method, path string, body []byte) types.Fingerprint {
	h := xxhash.New()
	for _, s := range []string{service, method, path} {
		_, _ = h.WriteString(s) // a hash takes all bytes
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(body)
	return types.Fingerprint(h.Sum64())
}

// FingerprintOf identifies the content of the request of a call.
func FingerprintOf(head *mesh.CallHead) types.Fingerprint {
	return Fingerprint(head.Service, head.Method, head.Path, head.Body)
}

// Refuse reports whether a request is refused because it has crashed targets, and after what time
// its caller may send it again. Each refusal lengthens the quarantine.
func (s *Suspects) Refuse(fp types.Fingerprint) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Refuse(s.opts.Clock.Now(), fp)
}

// IsOnTrial reports whether a request was quarantined and has got no good answer since.
func (s *Suspects) IsOnTrial(fp types.Fingerprint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Released(s.opts.Clock.Now(), fp)
}

// Begin records that a request starts at the target on this VM. It returns false if the
// request is on trial and may not start now.
func (s *Suspects) Begin(fp types.Fingerprint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.opts.Clock.Now()
	if s.table.Released(now, fp) {
		return s.table.AdmitTrial(now, fp)
	}
	s.table.Begin(now, fp)
	return true
}

// End records the result of a request. A good answer clears a suspect at all agents,
// even a quarantined one: requests with the same fingerprint run side by side, and those
// that were running at two deaths at once have not caused both.
func (s *Suspects) End(fp types.Fingerprint, r mesh.Result) {
	s.mu.Lock()
	now := s.opts.Clock.Now()
	changed := false
	switch r {
	case mesh.Expired:
		s.table.Cancel(now, fp)
	case mesh.Refused:
		s.table.Decline(now, fp)
	default:
		changed = s.table.End(now, fp, r == mesh.Answered)
		if r == mesh.Answered && s.table.Check(now, fp) != poison.Clear && s.table.Lift(fp) {
			changed = true
		}
	}
	var entries []poison.Entry
	if changed {
		entries = s.table.Entries(now, []types.Fingerprint{fp})
	}
	s.mu.Unlock()
	s.broadcastEntries(entries)
}

// TargetDied counts the death of the target against the requests that were running.
func (s *Suspects) TargetDied() {
	s.mu.Lock()
	now := s.opts.Clock.Now()
	var entries []poison.Entry
	if fps := s.table.TargetDied(now); len(fps) > 0 {
		entries = s.table.Entries(now, fps)
	}
	s.mu.Unlock()
	if len(entries) > 0 {
		s.opts.Log.WithField("requests", len(entries)).Warn("target died, its running requests become suspects")
	}
	s.broadcastEntries(entries)
}

// Merge merges the entries of another agent.
func (s *Suspects) Merge(list []mesh.Suspect) {
	if len(list) == 0 {
		return
	}
	entries := make([]poison.Entry, len(list))
	for i, x := range list {
		entries[i].Fingerprint = types.Fingerprint(x.Fingerprint)
		for _, d := range x.Deaths {
			entries[i].Deaths = append(entries[i].Deaths, poison.Death{
				ID:  poison.DeathID{Target: types.TargetID(d.Target), Incarnation: d.Boot, Number: d.Number},
				Age: time.Duration(d.AgeMs) * time.Millisecond, Cleared: d.Cleared,
			})
		}
	}
	s.mu.Lock()
	s.table.Learn(s.opts.Clock.Now(), entries)
	s.mu.Unlock()
}

// broadcastEntries sends entries to all other agents.
func (s *Suspects) broadcastEntries(entries []poison.Entry) {
	if len(entries) == 0 {
		return
	}
	n := &mesh.Notice{}
	for _, e := range entries {
		x := mesh.Suspect{Fingerprint: uint64(e.Fingerprint)}
		for _, d := range e.Deaths {
			x.Deaths = append(x.Deaths, mesh.Death{
				Target: string(d.ID.Target), Boot: d.ID.Incarnation, Number: d.ID.Number,
				AgeMs: d.Age.Milliseconds(), Cleared: d.Cleared,
			})
		}
		n.Suspects = append(n.Suspects, x)
	}
	s.opts.Broadcast(n)
}
