package agent

import (
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"trefoilthread/core/beat"
	"trefoilthread/core/roster"
	"trefoilthread/core/types"
)

// nodePrefix is the prefix of the agents' records in the store.
const nodePrefix = "trefoilthread/nodes/"

func nodeKey(name string) string { return nodePrefix + name }

// storedRecord is the value of an agent's record.
type storedRecord struct {
	Boot           uint64  `cbor:"boot"`
	Address        string  `cbor:"addr"`
	DataCentre     string  `cbor:"dc"`
	Link           float64 `cbor:"link,omitempty"` // Mbit/s
	Target         string  `cbor:"target,omitempty"`
	Service        string  `cbor:"svc,omitempty"`
	TargetAddress  string  `cbor:"taddr,omitempty"`
	Slots          int     `cbor:"slots,omitempty"`
	Born           uint64  `cbor:"born,omitempty"`
	TargetSequence uint64  `cbor:"tseq,omitempty"`
	State          uint8   `cbor:"state"`
	Leaving        bool    `cbor:"leaving,omitempty"` // the target has said in a response that it leaves
	Since          int64   `cbor:"since,omitempty"`   // since when the store has a record of the agent, in Unix milliseconds
}

// errInvalidRecord means that a record cannot be read or lacks required values.
var errInvalidRecord = errors.New("invalid agent record")

// decodeRecord decodes a record. rev is its revision in the store, which orders the
// records of a node across all its starts.
func decodeRecord(key string, value []byte, rev int64) (roster.Record, storedRecord, error) {
	var s storedRecord
	name := strings.TrimPrefix(key, nodePrefix)
	if err := cbor.Unmarshal(value, &s); err != nil {
		return roster.Record{}, s, errors.Wrapf(errInvalidRecord, "%s: %v", key, err)
	}
	if name == "" || !s.isPlausible() {
		return roster.Record{}, s, errors.Wrapf(
			errInvalidRecord, "%s: address %q, link %v, slots %d, born %d, state %d", key, s.Address, s.Link, s.Slots, s.Born, s.State,
		)
	}
	return roster.Record{
		Node: name, Boot: s.Boot, Sequence: uint64(rev), Address: s.Address,
		DataCentre: types.DataCentre(s.DataCentre), Link: s.Link,
		Target: roster.Target{
			ID: types.TargetID(s.Target), Service: types.ServiceName(s.Service), Slots: s.Slots,
			Born: s.Born, State: types.TargetState(s.State),
		},
	}, s, nil
}

// maxRecordLink is the highest speed of a link in a record, in Mbit/s.
const maxRecordLink = 1e6

// isPlausible reports whether an agent may have written the record. Another writer may leave
// anything under its key.
func (s storedRecord) isPlausible() bool {
	return types.IsAddress(s.Address) && s.State <= uint8(types.Down) &&
		s.Link >= 0 && s.Link <= maxRecordLink && s.Slots >= 0 && s.Slots <= types.MaxSlots &&
		s.Born <= types.MaxNumber && s.TargetSequence <= types.MaxNumber
}

// currentRecord returns the value that the record of this agent should have now. A stop
// of the agent isn't recorded: those that call its target hear of it directly, and the
// target is in service again at the next start.
func (a *Agent) currentRecord() storedRecord { return a.recordOf(a.target.announcedState()) }

// recordOf returns the record of this agent with a target.
func (a *Agent) recordOf(cur beat.Announcement, state types.TargetState) storedRecord {
	return storedRecord{
		Boot: a.boot, Address: a.opts.Settings.advertisedAddress(), DataCentre: string(a.opts.Settings.DataCentre),
		Link: a.opts.Settings.Link, Target: string(cur.ID), Service: string(cur.Service), TargetAddress: cur.Address,
		Slots: cur.Slots, Born: cur.Born, TargetSequence: cur.Sequence, State: uint8(state), Leaving: cur.Leaving,
		Since: a.since.Load(),
	}
}

// keepSince takes over since when the store has a record of this agent.
func (a *Agent) keepSince(previous storedRecord) {
	if own := a.since.Load(); previous.Since > 0 && previous.Since < own {
		a.since.Store(previous.Since)
	}
}

// beginSince notes that the store has a record of this agent from now on.
func (a *Agent) beginSince() int64 {
	now := a.clock.Now().UnixMilli()
	a.since.Store(now)
	return now
}

// covers reports whether a stored record need not be replaced by rec: it is the same, or
// says that the target drains while rec says that the same start of it has left. Neither
// gets calls.
func (s storedRecord) covers(rec storedRecord) bool {
	if types.TargetState(s.State) == types.Draining && types.TargetState(rec.State) == types.Down {
		rec.State, rec.TargetSequence, rec.Leaving = s.State, s.TargetSequence, s.Leaving
	}
	return s == rec
}

// announcement returns the target that a record describes and whether it is gone.
func (s storedRecord) announcement() (beat.Announcement, bool) {
	return beat.Announcement{
		ID: types.TargetID(s.Target), Service: types.ServiceName(s.Service), Address: s.TargetAddress,
		Slots: s.Slots, Born: s.Born, Sequence: s.TargetSequence,
		Draining: types.TargetState(s.State) == types.Draining && !s.Leaving, Leaving: s.Leaving,
	}, types.TargetState(s.State) == types.Down
}
