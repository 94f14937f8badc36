package config

// Request is the record of a committed request id.
type Request struct {
	id      string
	digest  uint64
	version int64
}

// ID returns the request id.
func (r Request) ID() string { return r.id }

// Version returns the version of the document with the change. All records
// are of committed changes, so the version is the whole result.
func (r Request) Version() int64 { return r.version }
