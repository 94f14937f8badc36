package mesh

import (
	"trefoilthread/io/httpw"
)

// CallHead is a call with the whole request.
type CallHead struct {
	_           struct{} `cbor:",toarray"`
	ID          string   // request id
	Service     string   // service that is to run it
	Target      string   // target that is to run it
	Caller      string   // service beside which the request came in
	Method      string
	Path        string // path and query as the caller sent them
	Header      httpw.Header
	Body        []byte
	RemainingMs int64   // time left until the call's deadline
	GoalMs      int64   // time left in which the answer has its full worth
	Rank        int     // 0 is the most urgent
	Route       string  // calls of one route take about the same time
	Prompt      bool    // refuse it rather than answer after the goal
	Worth       float64 // value of the answer
	AtMostOnce  bool
	Config      int64 // configuration version by which the call was routed
}

// Result tells what became of a call at the daemon beside its target.
type Result uint8

const (
	// Answered means that the target's whole response is there.
	Answered Result = iota
	// Refused means that the call has not run and never will.
	Refused
	// Broken means that the call may have run and has no valid response.
	Broken
	// Expired means that the deadline passed while the call ran.
	Expired
)

// Load is the load of a target when an answer left its daemon.
type Load struct {
	_         struct{} `cbor:",toarray"`
	InFlight  int
	Queued    int
	Limit     int
	LatencyUs int64
	Draining  bool
	Born      uint64  // start of the target
	Pace      float64 // how long work takes there, 1 as usual, 0 if unknown
}

// Answer is the result of a call.
type Answer struct {
	_       struct{} `cbor:",toarray"`
	Result  Result
	Reason  string // for people, of a result other than Answered
	RetryMs int64  // when a refused call may find room, 0 if unknown
	// Reached tells that the call was handed to the target, which then
	// refused it.
	Reached bool
	Status  int
	Phrase  string
	Header  httpw.Header
	Body    []byte
	Load    Load
	Config  int64 // configuration version of the answering daemon
	// Instead describes the target on the VM when the call named another one.
	Instead *Presence
}

// Presence is a target with the daemon beside it, as the daemon describes them.
type Presence struct {
	_          struct{} `cbor:",toarray"`
	Node       string
	Boot       uint64
	Address    string // where the daemon takes connections
	DataCentre string
	Link       float64 // of the VM, Mbit/s, 0 if unknown
	Target     string
	Service    string
	Slots      int
	Born       uint64 // start of the target
}

// Hello opens a connection.
type Hello struct {
	_       struct{} `cbor:",toarray"`
	Node    string
	Boot    uint64
	Address string // where the sender takes connections
}

// Query asks for what is in the store.
type Query struct {
	_        struct{} `cbor:",toarray"`
	Revision int64    // all changes up to this one are known to the sender
}

// News answers a Query.
type News struct {
	_        struct{} `cbor:",toarray"`
	Whole    bool     // Items are all that there are
	Items    []Item
	Revision int64 // all changes up to this one are known now
	AgeMs    int64 // later changes may be missing if they are not older than this
}

// Item is one key of the store.
type Item struct {
	_        struct{} `cbor:",toarray"`
	Key      string
	Value    []byte
	Revision int64
	Deleted  bool
	Packed   bool // the value is compressed with DEFLATE
	Omitted  bool // the value is too long to be told
}

// Notice is a message without an answer.
type Notice struct {
	_        struct{} `cbor:",toarray"`
	Node     string
	Boot     uint64
	Config   int64  // configuration version in force at the sender
	Target   string // target beside the sender, "" for none
	Service  string // service of that target
	Leaving  bool   // the target takes no new calls
	HasLoad  bool   // Load is that of the target
	Load     Load
	Suspects []Suspect
}

// Suspect is a request that was running when a target died.
type Suspect struct {
	_           struct{} `cbor:",toarray"`
	Fingerprint uint64
	Deaths      []Death
}

// Death is the death of a target that ran a suspect.
type Death struct {
	_       struct{} `cbor:",toarray"`
	Target  string
	Boot    uint64
	Number  uint64
	AgeMs   int64
	Cleared bool
}
