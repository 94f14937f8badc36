package agent

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

// suspectExpiry is how long one death counts against a request, and the length of its first
// quarantine. Callers repeat a request within seconds, and different requests may have the
// same fingerprint.
const suspectExpiry = 30 * time.Second

// suspects tracks the requests that may crash targets. A request that was running at two
// deaths of targets, without a good answer since, is refused. After its quarantine it runs
// only as a trial, without a retry, until it has got a good answer.
type suspects struct {
	clock clockwork.Clock
	log   log.Interface
	// broadcast sends a notice to all other agents.
	broadcast func(n *mesh.Notice)

	mu    sync.Mutex
	table *poison.Table
}

func newSuspects(node string, boot uint64, clock clockwork.Clock, l log.Interface, tell func(n *mesh.Notice)) *suspects {
	return &suspects{
		clock: clock, log: l, broadcast: tell,
		table: poison.New(poison.Options{Target: types.TargetID(node), Incarnation: boot, Expiry: suspectExpiry}),
	}
}

// fingerprint identifies the content of a request.
func fingerprint(service, method, path string, body []byte) types.Fingerprint {
	h := xxhash.New()
	for _, s := range []string{service, method, path} {
		_, _ = h.WriteString(s) // a hash takes all bytes
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(body)
	return types.Fingerprint(h.Sum64())
}

func fingerprintOf(head *mesh.CallHead) types.Fingerprint {
	return fingerprint(head.Service, head.Method, head.Path, head.Body)
}

// refuse reports whether a request is refused because it has crashed targets, which
// lengthens its quarantine, and after what time its caller may send it again.
func (s *suspects) refuse(fp types.Fingerprint) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Refuse(s.clock.Now(), fp)
}

// isOnTrial reports whether a request was quarantined and has got no good answer since.
func (s *suspects) isOnTrial(fp types.Fingerprint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Released(s.clock.Now(), fp)
}

// begin records that a request starts at the target on this VM. It returns false if the
// request is on trial and may not start now.
func (s *suspects) begin(fp types.Fingerprint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	if s.table.Released(now, fp) {
		return s.table.AdmitTrial(now, fp)
	}
	s.table.Begin(now, fp)
	return true
}

// end records the result of a request. A good answer clears a suspect at all agents,
// even a quarantined one: requests with the same fingerprint run side by side, and those
// that were running at two deaths at once have not caused both.
func (s *suspects) end(fp types.Fingerprint, r mesh.Result) {
	s.mu.Lock()
	now := s.clock.Now()
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

// targetDied counts the death of the target against the requests that were running.
func (s *suspects) targetDied() {
	s.mu.Lock()
	now := s.clock.Now()
	var entries []poison.Entry
	if fps := s.table.TargetDied(now); len(fps) > 0 {
		entries = s.table.Entries(now, fps)
	}
	s.mu.Unlock()
	if len(entries) > 0 {
		s.log.WithField("requests", len(entries)).Warn("target died, its running requests become suspects")
	}
	s.broadcastEntries(entries)
}

// merge merges the entries of another agent.
func (s *suspects) merge(list []mesh.Suspect) {
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
	s.table.Learn(s.clock.Now(), entries)
	s.mu.Unlock()
}

func (s *suspects) broadcastEntries(entries []poison.Entry) {
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
	s.broadcast(n)
}
