package enrol

import (
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"trefoilthread/core/roster"
	"trefoilthread/core/types"
)

// Prefix is the prefix of the keys of the agents' records in the store.
const Prefix = "trefoilthread/nodes/"

// Key returns the key of the record of the agent with a name.
func Key(node string) string { return Prefix + node }

// Record is the value of an agent's record in the store, in CBOR.
type Record struct {
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

// Decode decodes the value of a key. The error says why it is no record that an agent may have
// written.
func Decode(key string, value []byte) (Record, error) {
	var r Record
	if err := cbor.Unmarshal(value, &r); err != nil {
		return r, errors.Wrapf(errInvalidRecord, "%s: %v", key, err)
	}
	if strings.TrimPrefix(key, Prefix) == "" || !r.isPlausible() {
		return r, errors.Wrapf(
			errInvalidRecord, "%s: address %q, link %v, slots %d, born %d, state %d", key, r.Address, r.Link, r.Slots, r.Born, r.State,
		)
	}
	return r, nil
}

// RosterRecord returns the record as that of the agent with a name. Its revision in the store
// orders the records of an agent across all its starts.
func (r Record) RosterRecord(node string, revision int64) roster.Record {
	return roster.Record{
		Node: node, Boot: r.Boot, Sequence: uint64(revision), Address: r.Address,
		DataCentre: types.DataCentre(r.DataCentre), Link: r.Link,
		Target: roster.Target{
			ID: types.TargetID(r.Target), Service: types.ServiceName(r.Service), Slots: r.Slots,
			Born: r.Born, State: types.TargetState(r.State),
		},
	}
}

// maxRecordLink is the highest speed of a link in a record, in Mbit/s.
const maxRecordLink = 1e6

// isPlausible reports whether an agent may have written the record. Another writer may leave
// anything under its key.
func (r Record) isPlausible() bool {
	return types.IsAddress(r.Address) && r.State <= uint8(types.Down) &&
		r.Link >= 0 && r.Link <= maxRecordLink && r.Slots >= 0 && r.Slots <= types.MaxSlots &&
		r.Born <= types.MaxNumber && r.TargetSequence <= types.MaxNumber
}

// covers reports whether a stored record need not be replaced by rec: it is the same, or
// says that the target drains while rec says that the same start of it has left. Neither
// gets calls.
func (r Record) covers(rec Record) bool {
	if types.TargetState(r.State) == types.Draining && types.TargetState(rec.State) == types.Down {
		rec.State, rec.TargetSequence, rec.Leaving = r.State, r.TargetSequence, r.Leaving
	}
	return r == rec
}
