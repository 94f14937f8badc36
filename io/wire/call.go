package wire

// CallHead opens a call.
type CallHead struct {
	ID       string              `cbor:"id"`
	Service  string              `cbor:"svc"`
	Method   string              `cbor:"m"`
	Path     string              `cbor:"p"`
	Host     string              `cbor:"h,omitempty"`
	Header   map[string][]string `cbor:"hdr,omitempty"`
	Length   int64               `cbor:"len"`
	Urgent   bool                `cbor:"urg,omitempty"`
	Runs     uint8               `cbor:"runs,omitempty"`
	Timeout  int64               `cbor:"to"` // microseconds left; no clock is shared
	Worth    float64             `cbor:"w,omitempty"`
	Depth    int                 `cbor:"d,omitempty"`
	Key      string              `cbor:"key,omitempty"`
	Print    uint64              `cbor:"fp,omitempty"`
	Tries    int                 `cbor:"tr,omitempty"`
	Trial    bool                `cbor:"trial,omitempty"` // a suspect on its trial run
	Claimed  bool                `cbor:"clm,omitempty"`   // the key was claimed by the sender
	Route    bool                `cbor:"rt,omitempty"`    // the receiver claims the key and routes the call
	Sender   string              `cbor:"from"`
	ConfigAt int64               `cbor:"cfg,omitempty"` // configuration version by which the call was classified
}

// Report is the load of a target, sent with each answer and refusal.
type Report struct {
	InFlight    int    `cbor:"f,omitempty"`
	Queued      int    `cbor:"q,omitempty"`
	Limit       int    `cbor:"l,omitempty"`
	Latency     int64  `cbor:"lat,omitempty"` // microseconds
	Draining    bool   `cbor:"dr,omitempty"`
	Incarnation uint64 `cbor:"inc,omitempty"`
	ConfigAt    int64  `cbor:"cfg,omitempty"`
}

// AnswerHead opens an answer.
type AnswerHead struct {
	Status int                 `cbor:"s"`
	Header map[string][]string `cbor:"hdr,omitempty"`
	Length int64               `cbor:"len"` // -1 if not known
	Report Report              `cbor:"r"`
}

// Failure ends a call without a whole answer. It implements error.
type Failure struct {
	Outcome uint8  `cbor:"o"`
	Reason  string `cbor:"why"`
	Report  Report `cbor:"r"`
	Moved   bool   `cbor:"mv,omitempty"`  // the key is kept by another daemon
	Stalled bool   `cbor:"st,omitempty"`  // the connection to the target was silent
	Trial   bool   `cbor:"tl,omitempty"`  // refused because another suspect is on trial
	Stale   bool   `cbor:"old,omitempty"` // the call was classified by an older configuration
}

// Error implements error.
func (f *Failure) Error() string { return f.Reason }
