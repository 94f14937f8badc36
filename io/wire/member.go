package wire

import (
	"time"

	"trefoilthread/core/poison"
	"trefoilthread/core/types"
)

// Kinds of control messages.
const (
	// KindJoin announces a daemon to its leader; Join, MemberReply.
	KindJoin = "join"
	// KindHeartbeat tells the leader that a daemon runs; Heartbeat, MemberReply.
	KindHeartbeat = "heartbeat"
	// KindMembers gives a data centre's summary; Members, no reply.
	KindMembers = "members"
	// KindConfig asks for a newer configuration; HaveConfig, Document.
	KindConfig = "config"
	// KindConfigAt tells that a newer document exists; ConfigAt, no reply.
	KindConfigAt = "configAt"
	// KindSuspects tells of requests that were running when a target died;
	// Suspects, answered by all the receiver knows.
	KindSuspects = "suspects"
	// KindDrain takes the receiver's target out of service or back; Drain, Drained.
	KindDrain = "drain"
	// KindStatus asks a leader for the versions in force; no message, StatusReply.
	KindStatus = "status"
)

// Target is a types.Target on the wire.
type Target struct {
	ID          string `cbor:"id"`
	Service     string `cbor:"svc,omitempty"`
	DataCentre  string `cbor:"dc"`
	Address     string `cbor:"a"`
	Slots       int    `cbor:"sl,omitempty"`
	Incarnation uint64 `cbor:"inc"`
	Sequence    uint64 `cbor:"seq,omitempty"`
	State       uint8  `cbor:"st,omitempty"`
}

// TargetOf returns the wire form of t.
func TargetOf(t types.Target) Target {
	return Target{
		ID: string(t.ID()), Service: string(t.Service()), DataCentre: string(t.DataCentre()), Address: t.Address(),
		Slots: t.Slots(), Incarnation: t.Incarnation(), Sequence: t.Sequence(), State: uint8(t.State()),
	}
}

// Core returns the target that w describes.
func (w Target) Core() types.Target {
	return types.NewTarget(types.TargetSpec{
		ID: types.TargetID(w.ID), Service: types.ServiceName(w.Service), DataCentre: types.DataCentre(w.DataCentre),
		Address: w.Address, Slots: w.Slots, Incarnation: w.Incarnation, Sequence: w.Sequence,
		State: types.TargetState(w.State),
	})
}

// Join tells the leader of a daemon and its target.
type Join struct {
	Target   Target `cbor:"t"`
	Process  uint64 `cbor:"p"` // unique for each start of a daemon
	ConfigAt int64  `cbor:"cfg,omitempty"`
}

// Heartbeat tells the leader that a daemon runs, and its target's state.
type Heartbeat struct {
	ID          string `cbor:"id"`
	Incarnation uint64 `cbor:"inc"`
	Sequence    uint64 `cbor:"seq,omitempty"`
	State       uint8  `cbor:"st,omitempty"`
	ConfigAt    int64  `cbor:"cfg,omitempty"`
}

// MemberReply answers Join and Heartbeat.
type MemberReply struct {
	Epoch    uint64 `cbor:"e"`
	Interval int64  `cbor:"iv,omitempty"` // microseconds until the next heartbeat
	Status   uint8  `cbor:"st,omitempty"` // member.HeartbeatStatus
	Known    uint64 `cbor:"inc,omitempty"`
	Refused  string `cbor:"no,omitempty"`
	ConfigAt int64  `cbor:"cfg,omitempty"`
}

// Members carries one data centre's summary as core/member encodes it, or the
// change since the last one the receiver was told.
type Members struct {
	Sender  string `cbor:"from"` // address of the leader that sends it
	Centre  string `cbor:"dc"`   // data centre of that leader
	Epoch   uint64 `cbor:"e"`    // of that leader
	Summary []byte `cbor:"s,omitempty"`
	Delta   []byte `cbor:"dl,omitempty"`
}

// HaveConfig carries the version that its sender has.
type HaveConfig struct {
	Version int64 `cbor:"v,omitempty"`
}

// Document carries the change of the configuration since a version, as
// core/config encodes it.
type Document struct {
	Delta []byte `cbor:"dl"`
}

// ConfigAt carries the version of the newest document its sender has.
type ConfigAt struct {
	Sender  string `cbor:"from"` // address of the leader that sends it
	Epoch   uint64 `cbor:"e"`
	Version int64  `cbor:"v"`
}

// Suspects carries what its sender knows of requests that crashed targets.
type Suspects struct {
	Entries []Suspect `cbor:"s,omitempty"`
}

// Suspect is one request that was running when a target died.
type Suspect struct {
	Print  uint64  `cbor:"fp"`
	Deaths []Death `cbor:"d"`
}

// Death is one death of a target during which a request was running.
type Death struct {
	Target      string `cbor:"t"`
	Incarnation uint64 `cbor:"inc"`
	Number      uint64 `cbor:"n"`
	Age         int64  `cbor:"age"` // milliseconds; no clock is shared
	Cleared     bool   `cbor:"ok,omitempty"`
}

// SuspectsOf returns the wire form of entries.
func SuspectsOf(entries []poison.Entry) *Suspects {
	s := &Suspects{}
	for _, e := range entries {
		w := Suspect{Print: uint64(e.Fingerprint)}
		for _, d := range e.Deaths {
			w.Deaths = append(w.Deaths, Death{
				Target: string(d.ID.Target), Incarnation: d.ID.Incarnation, Number: d.ID.Number,
				Age: d.Age.Milliseconds(), Cleared: d.Cleared,
			})
		}
		s.Entries = append(s.Entries, w)
	}
	return s
}

// Core returns the entries that s describes.
func (s *Suspects) Core() []poison.Entry {
	var out []poison.Entry
	for _, w := range s.Entries {
		e := poison.Entry{Fingerprint: types.Fingerprint(w.Print)}
		for _, d := range w.Deaths {
			e.Deaths = append(e.Deaths, poison.Death{
				ID:      poison.DeathID{Target: types.TargetID(d.Target), Incarnation: d.Incarnation, Number: d.Number},
				Age:     time.Duration(d.Age) * time.Millisecond,
				Cleared: d.Cleared,
			})
		}
		out = append(out, e)
	}
	return out
}

// StatusReply lists the version in force in each data centre.
type StatusReply struct {
	DataCentres []DataCentreStatus `cbor:"dcs"`
}

// DataCentreStatus is the version in force in one data centre.
type DataCentreStatus struct {
	Name    string `cbor:"dc"`
	InForce int64  `cbor:"v"`
	Members int    `cbor:"n"`
	Leader  string `cbor:"l"`
}

// Drain asks to take a target out of service, or back into it.
type Drain struct {
	Target string `cbor:"t"`
	Drain  bool   `cbor:"d"`
}

// Drained is the state of a target after Drain.
type Drained struct {
	State uint8 `cbor:"st"`
}
