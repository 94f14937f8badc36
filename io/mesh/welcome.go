package mesh

// rawTextVersion is the first version whose daemons decode text that isn't UTF-8, and the
// version of this one.
const rawTextVersion = 1

// Welcome answers the Hello of a daemon whose version isn't 0, before anything else.
type Welcome struct {
	Version int `cbor:"1,keyasint,omitempty"` // of the sender
}
