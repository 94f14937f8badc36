package config

import "slices"

// Result is the effect of one change.
type Result struct {
	state    State
	version  int64
	diff     []string
	repeated bool
}

// State returns the effect on the document.
func (r Result) State() State { return r.state }

// Version returns the version of the document with the change; for Unchanged
// and Valid the version of the document that was compared.
func (r Result) Version() int64 { return r.version }

// Diff returns a copy of the altered properties. For a repeated request it is
// the shortened diff of the audit entry, and nil once that has been dropped.
func (r Result) Diff() []string { return slices.Clone(r.diff) }

// Repeated reports whether the request id was known, so that this is the
// result of the first request and the document stays as it is.
func (r Result) Repeated() bool { return r.repeated }
