package wire

import "github.com/fxamacker/cbor/v2"

// ControlHead opens a control exchange: a kind and a CBOR message of that kind.
// The reply is a Head frame with a ControlReply.
type ControlHead struct {
	Kind    string          `cbor:"k"`
	Message cbor.RawMessage `cbor:"msg,omitempty"`
}

// ControlReply answers a control exchange.
type ControlReply struct {
	Refused string          `cbor:"no,omitempty"` // why it was refused, "" if not
	Message cbor.RawMessage `cbor:"msg,omitempty"`
}
