package mesh

import (
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"trefoilthread/io/httpw"
)

// CallHead is a call with the whole request.
type CallHead struct {
	ID           string       `cbor:"1,keyasint,omitempty"` // request id
	Service      string       `cbor:"2,keyasint,omitempty"` // service that is to run it
	Target       string       `cbor:"3,keyasint,omitempty"` // target that is to run it
	Caller       string       `cbor:"4,keyasint,omitempty"` // service beside which the request came in
	Method       string       `cbor:"5,keyasint,omitempty"`
	Path         string       `cbor:"6,keyasint,omitempty"` // path and query as the caller sent them
	Header       httpw.Header `cbor:"7,keyasint,omitempty"`
	Body         []byte       `cbor:"8,keyasint,omitempty"`
	RemainingMs  int64        `cbor:"9,keyasint,omitempty"`  // time left until the call's deadline
	GoalMs       int64        `cbor:"10,keyasint,omitempty"` // time left in which the answer has its full worth
	Rank         int          `cbor:"11,keyasint,omitempty"` // 0 is the most urgent
	Route        string       `cbor:"12,keyasint,omitempty"` // calls of one route take about the same time
	Prompt       bool         `cbor:"13,keyasint,omitempty"` // refuse it rather than answer after the goal
	Worth        float64      `cbor:"14,keyasint,omitempty"` // value of the answer
	AtMostOnce   bool         `cbor:"15,keyasint,omitempty"`
	Config       int64        `cbor:"16,keyasint,omitempty"` // configuration version by which the call was routed
	Customer     string       `cbor:"17,keyasint,omitempty"` // customer whose API key the request had, "" if none
	CustomerRank int          `cbor:"18,keyasint,omitempty"` // priority of that customer, 0 the highest
	StartMs      int64        `cbor:"24,keyasint,omitempty"` // time left in which a call with a customer may start, 0 for no bound, negative if it is over
	BodyLen      int          `cbor:"30,keyasint,omitempty"` // of an offered call: length of the body, which is sent after a grant
	// PeerLink is the speed of the link of the called daemon's VM in Mbit/s, 0 if unknown.
	PeerLink float64 `cbor:"-"`
	// Offer is set at a server if the call came without its body, which Offer.Receive gets.
	Offer *Offer `cbor:"-"`
	// Memory is that of the body at a server, until the call is answered.
	Memory *httpw.Holding `cbor:"-"`
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
	InFlight  int     `cbor:"1,keyasint,omitempty"`
	Queued    int     `cbor:"2,keyasint,omitempty"`
	Limit     int     `cbor:"3,keyasint,omitempty"`
	LatencyUs int64   `cbor:"4,keyasint,omitempty"`
	Draining  bool    `cbor:"5,keyasint,omitempty"`
	Born      uint64  `cbor:"6,keyasint,omitempty"` // start of the target
	Pace      float64 `cbor:"7,keyasint,omitempty"` // how long work takes there, 1 as usual, 0 if unknown
	// Rate, RateMs and StartInMs are the limit of a cold target, see types.ReportSpec.
	Rate      float64 `cbor:"8,keyasint,omitempty"`
	RateMs    int64   `cbor:"9,keyasint,omitempty"`
	StartInMs int64   `cbor:"10,keyasint,omitempty"`
	LinkUs    int64   `cbor:"20,keyasint,omitempty"` // time of the link that the bodies on their way to the target still take
}

// Answer is the result of a call.
type Answer struct {
	Result  Result `cbor:"1,keyasint,omitempty"`
	Reason  string `cbor:"2,keyasint,omitempty"` // for people, of a result other than Answered
	RetryMs int64  `cbor:"3,keyasint,omitempty"` // when a refused call may find room, 0 if unknown
	// Reached tells that the call was handed to the target, which then
	// refused it.
	Reached bool         `cbor:"4,keyasint,omitempty"`
	Status  int          `cbor:"5,keyasint,omitempty"`
	Phrase  string       `cbor:"6,keyasint,omitempty"`
	Header  httpw.Header `cbor:"7,keyasint,omitempty"`
	Body    []byte       `cbor:"8,keyasint,omitempty"`
	Load    Load         `cbor:"9,keyasint,omitempty"`
	Config  int64        `cbor:"10,keyasint,omitempty"` // configuration version of the answering daemon
	// Instead describes the target on the VM when the call named another one.
	Instead *Presence `cbor:"11,keyasint,omitempty"`
	// Target got the call, "" if it is the one that the call named. Instead may be a later one.
	Target string `cbor:"12,keyasint,omitempty"`
	// Memory is that of the body, until the answer has been passed on. Who drops an
	// answer releases it.
	Memory *httpw.Holding `cbor:"-"`
}

// OtherTarget returns the target that got the call in place of the one that it named, "" if
// there is none. Daemons before the field Target tell only which target came after it.
func (a *Answer) OtherTarget() string {
	if a.Target == "" && a.Instead != nil {
		return a.Instead.Target
	}
	return a.Target
}

// check returns an error if the answer has a response that can't be passed on: daemons of
// earlier versions take more of their targets' responses for valid.
func (a *Answer) check() error {
	if a.Result != Answered {
		return nil
	}
	return httpw.CheckResponse(&httpw.Response{Status: a.Status, Reason: a.Phrase, Header: a.Header})
}

// Retry returns when a refused call may find room, 0 if unknown.
func (a *Answer) Retry() time.Duration { return time.Duration(a.RetryMs) * time.Millisecond }

// unsent returns the answer that takes the place of a, which can't be sent because of err:
// the caller would wait for it until its deadline.
func (a *Answer) unsent(err error) *Answer {
	short := &Answer{
		Result: a.Result, Reason: a.Reason, RetryMs: a.RetryMs, Reached: a.Reached,
		Load: a.Load, Config: a.Config, Instead: a.Instead,
	}
	if a.Result == Answered {
		short.Result, short.Reason = Broken, "target's response not passed on: "+err.Error()
	}
	if errors.Is(err, ErrOldPeer) {
		short.Reason = strings.ToValidUTF8(short.Reason, "?")
		if hasRawText(short.Instead) {
			short.Instead = nil
		}
	}
	return short
}

// Presence is a target with the daemon beside it, as the daemon describes them.
type Presence struct {
	Node       string  `cbor:"1,keyasint,omitempty"`
	Boot       uint64  `cbor:"2,keyasint,omitempty"`
	Address    string  `cbor:"3,keyasint,omitempty"` // where the daemon takes connections
	DataCentre string  `cbor:"4,keyasint,omitempty"`
	Link       float64 `cbor:"5,keyasint,omitempty"` // of the VM, Mbit/s, 0 if unknown
	Target     string  `cbor:"6,keyasint,omitempty"`
	Service    string  `cbor:"7,keyasint,omitempty"`
	Slots      int     `cbor:"8,keyasint,omitempty"`
	Born       uint64  `cbor:"9,keyasint,omitempty"` // start of the target
}

// Hello opens a connection.
type Hello struct {
	Node    string `cbor:"1,keyasint,omitempty"`
	Boot    uint64 `cbor:"2,keyasint,omitempty"`
	Address string `cbor:"3,keyasint,omitempty"` // where the sender takes connections
	Bulk    bool   `cbor:"4,keyasint,omitempty"` // the connection carries calls with long bodies only
	Version int    `cbor:"5,keyasint,omitempty"` // of the sender
	// Link is the speed of the link of the sender's VM in Mbit/s, 0 if unknown.
	Link float64 `cbor:"20,keyasint,omitempty"`
}

// Grant tells the sender of an offered call to send the body.
type Grant struct {
	StartUs int64 `cbor:"1,keyasint,omitempty"` // time until the sender begins
}

// Query asks for what is in the store: for all changes, or for one key.
type Query struct {
	Revision int64  `cbor:"1,keyasint,omitempty"` // all changes up to this one are known to the sender
	Key      string `cbor:"2,keyasint,omitempty"` // only a later state of this key is asked for, with its value
	Wait     bool   `cbor:"3,keyasint,omitempty"` // wait for news also if the receiver has lost the store
}

// News answers a Query.
type News struct {
	Whole    bool   `cbor:"1,keyasint,omitempty"` // Items are all that there are
	Items    []Item `cbor:"2,keyasint,omitempty"`
	Revision int64  `cbor:"3,keyasint,omitempty"` // all changes up to this one are known now
	AgeMs    int64  `cbor:"4,keyasint,omitempty"` // later changes may be missing if they are not older than this
	Lost     bool   `cbor:"5,keyasint,omitempty"` // the sender has lost the store
	Refused  string `cbor:"6,keyasint,omitempty"` // why the query isn't answered, "" if it is
	// KnownMs is the age of the sender's proof that no later change is missing, unlike AgeMs
	// counted from the call to the store and while the machine was suspended; 0 if unknown.
	KnownMs int64 `cbor:"24,keyasint,omitempty"`
	HeldMs  int64 `cbor:"25,keyasint,omitempty"` // time for which the sender held the query before
}

// refusedAge is the age of refused news. Daemons that don't know the field Refused take them
// for those of a copy that is too old, and turn to another daemon.
const refusedAge = time.Hour

// refusedNews returns the answer to a query that isn't answered, for a reason.
func refusedNews(reason string) *News {
	return &News{Refused: reason, AgeMs: refusedAge.Milliseconds()}
}

// Item is one key of the store.
type Item struct {
	Key      string `cbor:"1,keyasint,omitempty"`
	Value    []byte `cbor:"2,keyasint,omitempty"`
	Revision int64  `cbor:"3,keyasint,omitempty"`
	Deleted  bool   `cbor:"4,keyasint,omitempty"`
	Packed   bool   `cbor:"5,keyasint,omitempty"` // the value is compressed with DEFLATE
	Omitted  bool   `cbor:"6,keyasint,omitempty"` // the value is too long to be told
}

// Notice is a message without an answer.
type Notice struct {
	Node     string    `cbor:"1,keyasint,omitempty"`
	Boot     uint64    `cbor:"2,keyasint,omitempty"`
	Config   int64     `cbor:"3,keyasint,omitempty"` // configuration version in force at the sender
	Target   string    `cbor:"4,keyasint,omitempty"` // target beside the sender, "" for none
	Service  string    `cbor:"5,keyasint,omitempty"` // service of that target
	Leaving  bool      `cbor:"6,keyasint,omitempty"` // the target takes no new calls
	HasLoad  bool      `cbor:"7,keyasint,omitempty"` // Load is that of the target
	Load     Load      `cbor:"8,keyasint,omitempty"`
	Suspects []Suspect `cbor:"9,keyasint,omitempty"`
}

// Suspect is a request that was running when a target died.
type Suspect struct {
	Fingerprint uint64  `cbor:"1,keyasint,omitempty"`
	Deaths      []Death `cbor:"2,keyasint,omitempty"`
}

// Death is the death of a target that ran a suspect.
type Death struct {
	Target  string `cbor:"1,keyasint,omitempty"`
	Boot    uint64 `cbor:"2,keyasint,omitempty"`
	Number  uint64 `cbor:"3,keyasint,omitempty"`
	AgeMs   int64  `cbor:"4,keyasint,omitempty"`
	Cleared bool   `cbor:"5,keyasint,omitempty"`
}
