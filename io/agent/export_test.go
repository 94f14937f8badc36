package agent

import (
	"trefoilthread/core/beat"
	"trefoilthread/core/roster"
	"trefoilthread/core/types"
	"trefoilthread/io/mesh"
)

// Names for the tests of package agent_test.
var (
	NewSuspects = newSuspects
	Fingerprint = fingerprint
	Pack        = pack
	Unpack      = unpack
)

// SuspectExpiry is suspectExpiry.
const SuspectExpiry = suspectExpiry

// Begin is begin.
func (s *suspects) Begin(fp types.Fingerprint) { s.begin(fp) }

// Learn is learn.
var Learn = (*suspects).learn

// End is end.
var End = (*suspects).end

// TargetDied is targetDied.
func (s *suspects) TargetDied() { s.targetDied() }

// IsQuarantined is isQuarantined.
func (s *suspects) IsQuarantined(fp types.Fingerprint) bool { return s.isQuarantined(fp) }

// Suspects is suspects.
type Suspects = suspects

// Describe is presence.
func Describe(a *Agent, cur beat.Announcement) *mesh.Presence { return a.presence(cur) }

// Corrected returns the records that a knows after correct.
func Corrected(a *Agent, p *mesh.Presence) (recs []roster.Record) {
	a.correct(types.Target{}, p)
	a.places.update(func(r *roster.Roster) bool {
		recs = r.Records()
		return false
	})
	return recs
}
