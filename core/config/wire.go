package config

import (
	"time"

	"trefoilthread/core/types"
)

// Wire structs are the stored form. Integer keys keep a document small; a key
// is never given another meaning.

type documentWire struct {
	Format   int           `cbor:"1,keyasint"`
	Version  int64         `cbor:"2,keyasint"`
	Services []serviceWire `cbor:"3,keyasint"`
	Audit    []entryWire   `cbor:"4,keyasint"`
	Requests []requestWire `cbor:"5,keyasint"`
}

type refusalsWire struct {
	Format  int         `cbor:"1,keyasint"`
	Entries []entryWire `cbor:"2,keyasint"`
}

type serviceWire struct {
	Name         types.ServiceName  `cbor:"1,keyasint"`
	DataCentres  []types.DataCentre `cbor:"2,keyasint"`
	Slots        int                `cbor:"3,keyasint"`
	Connections  int                `cbor:"4,keyasint"`
	ProbeBudget  time.Duration      `cbor:"5,keyasint,omitempty"`
	RetryShare   float64            `cbor:"6,keyasint,omitempty"`
	HedgeShare   float64            `cbor:"7,keyasint,omitempty"`
	MaxBodyBytes int64              `cbor:"8,keyasint,omitempty"`
	Rules        []ruleWire         `cbor:"9,keyasint,omitempty"`
	Version      int64              `cbor:"10,keyasint,omitempty"`
}

type ruleWire struct {
	Method   string        `cbor:"1,keyasint"`
	Path     string        `cbor:"2,keyasint"`
	Urgent   bool          `cbor:"3,keyasint,omitempty"`
	Runs     types.Runs    `cbor:"4,keyasint,omitempty"`
	Deadline time.Duration `cbor:"5,keyasint"`
	Worth    float64       `cbor:"6,keyasint,omitempty"`
}

type entryWire struct {
	Millis    int64             `cbor:"1,keyasint"`
	Operator  string            `cbor:"2,keyasint"`
	Address   string            `cbor:"3,keyasint,omitempty"`
	RequestID string            `cbor:"4,keyasint"`
	Service   types.ServiceName `cbor:"5,keyasint"`
	Action    Action            `cbor:"6,keyasint,omitempty"`
	From      int64             `cbor:"7,keyasint,omitempty"`
	To        int64             `cbor:"8,keyasint,omitempty"`
	Diff      []string          `cbor:"9,keyasint,omitempty"`
	Refused   string            `cbor:"10,keyasint,omitempty"`
}

type requestWire struct {
	_       struct{} `cbor:",toarray"`
	ID      string
	Digest  uint64
	Version int64
}

func toServiceWire(s Service) serviceWire {
	p := s.spec
	w := serviceWire{
		Name: p.Name, DataCentres: p.DataCentres, Slots: p.Slots, Connections: p.Connections,
		ProbeBudget: p.ProbeBudget, RetryShare: p.RetryShare, HedgeShare: p.HedgeShare,
		MaxBodyBytes: p.MaxBodyBytes, Version: p.Version, Rules: make([]ruleWire, len(p.Rules)),
	}
	for i, r := range p.Rules {
		w.Rules[i] = ruleWire(r.spec)
	}
	return w
}

func (w serviceWire) service() Service {
	rules := make([]Rule, len(w.Rules))
	for i, r := range w.Rules {
		rules[i] = Rule{spec: RuleSpec(r)}
	}
	return NewService(ServiceSpec{
		Name: w.Name, DataCentres: w.DataCentres, Slots: w.Slots, Connections: w.Connections,
		ProbeBudget: w.ProbeBudget, RetryShare: w.RetryShare, HedgeShare: w.HedgeShare,
		MaxBodyBytes: w.MaxBodyBytes, Rules: rules, Version: w.Version,
	})
}

func toEntryWires(list []Entry) []entryWire {
	out := make([]entryWire, len(list))
	for i, e := range list {
		out[i] = entryWire{
			Millis: e.at.UnixMilli(), Operator: e.operator, Address: e.address, RequestID: e.requestID,
			Service: e.service, Action: e.action, From: e.from, To: e.to, Diff: e.diff, Refused: e.refused,
		}
	}
	return out
}

func fromEntryWires(list []entryWire) []Entry {
	out := make([]Entry, len(list))
	for i, w := range list {
		out[i] = Entry{
			at: time.UnixMilli(w.Millis).UTC(), operator: w.Operator, address: w.Address, requestID: w.RequestID,
			service: w.Service, action: w.Action, from: w.From, to: w.To, diff: w.Diff, refused: w.Refused,
		}
	}
	return out
}
