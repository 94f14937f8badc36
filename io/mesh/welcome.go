package mesh

const (
	// rawTextVersion is the first version whose daemons decode text that isn't UTF-8.
	rawTextVersion = 1
	// partsVersion is the first version whose daemons take offered calls and frames in
	// parts.
	partsVersion = 2
	// ownVersion is the version of this daemon.
	ownVersion = partsVersion
)

// Welcome answers the Hello of a daemon whose version isn't 0, before anything else.
type Welcome struct {
	Version int `cbor:"1,keyasint,omitempty"` // of the sender
}
