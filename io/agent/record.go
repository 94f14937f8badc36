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
}

// errRecord means that a record can't be read; it names no target.
var errRecord = errors.New("record of an agent not understood")

// decodeRecord reads a record; rev is the store's revision of it, which orders
// the records of a node over all its starts.
func decodeRecord(key string, value []byte, rev int64) (roster.Record, storedRecord, error) {
	var s storedRecord
	name := strings.TrimPrefix(key, nodePrefix)
	if err := cbor.Unmarshal(value, &s); err != nil {
		return roster.Record{}, s, errors.Wrapf(errRecord, "%s: %v", key, err)
	}
	if name == "" || s.Address == "" || s.State > uint8(types.Down) {
		return roster.Record{}, s, errors.Wrapf(errRecord, "%s: address %q, state %d", key, s.Address, s.State)
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

// record returns the value of this agent's record.
func (a *Agent) record() storedRecord {
	s := storedRecord{
		Boot: a.boot, Address: a.opts.Settings.public(), DataCentre: string(a.opts.Settings.DataCentre),
		Link: a.opts.Settings.Link, State: uint8(types.Down),
	}
	if cur, state, ok := a.own.target(); ok {
		s.Target, s.Service, s.TargetAddress = string(cur.ID), string(cur.Service), cur.Address
		s.Slots, s.Born, s.TargetSequence, s.State = cur.Slots, cur.Born, cur.Sequence, uint8(state)
	}
	return s
}

// announcement returns what a record says of its target and whether that is
// gone.
func (s storedRecord) announcement() (beat.Announcement, bool) {
	return beat.Announcement{
		ID: types.TargetID(s.Target), Service: types.ServiceName(s.Service), Address: s.TargetAddress,
		Slots: s.Slots, Born: s.Born, Sequence: s.TargetSequence,
		Draining: types.TargetState(s.State) == types.Draining,
	}, types.TargetState(s.State) == types.Down
}
