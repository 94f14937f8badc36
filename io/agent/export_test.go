package agent

import (
	"github.com/fxamacker/cbor/v2"

	"trefoilthread/core/beat"
	"trefoilthread/core/relay"
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

// TakeItems is takeItems.
func TakeItems(a *Agent, items []relay.Item) { a.takeItems(items) }

// Use makes a place calls of a service.
func Use(a *Agent, name types.ServiceName) { a.places.began(name, "lookup") }

// Record returns the key and value of an agent's record.
func Record(node string, service types.ServiceName) (key string, value []byte) {
	value, err := cbor.Marshal(storedRecord{
		Boot: 1, Address: node + ":7000", DataCentre: "kl", Target: "t-" + node, Service: string(service),
		TargetAddress: node + ":8000", Slots: 12, Born: 7, State: uint8(types.Up),
	})
	if err != nil {
		panic(err)
	}
	return nodeKey(node), value
}
