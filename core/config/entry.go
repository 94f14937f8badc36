package config

import (
	"fmt"
	"slices"
	"strings"
	"time"
	"unicode/utf8"

	"trefoilthread/core/types"
)

// Entry is the audit record of one change.
type Entry struct {
	at        time.Time
	operator  string
	address   string
	requestID string
	service   types.ServiceName
	action    Action
	from, to  int64
	diff      []string
	refused   string
}

// Time returns when the change was made, in milliseconds and UTC, by the clock
// of the daemon that handled it.
func (e Entry) Time() time.Time { return e.at }

// Operator returns who asked for the change.
func (e Entry) Operator() string { return e.operator }

// Address returns where the operator called from.
func (e Entry) Address() string { return e.address }

// RequestID returns the name of the change.
func (e Entry) RequestID() string { return e.requestID }

// Service returns the name of the changed service.
func (e Entry) Service() types.ServiceName { return e.service }

// Action returns the kind of the change.
func (e Entry) Action() Action { return e.action }

// From returns the version of the service before the change, 0 for a new one.
// For a refused change it is the version the change builds on.
func (e Entry) From() int64 { return e.from }

// To returns the version of the document with the change, 0 if refused.
func (e Entry) To() int64 { return e.to }

// Diff returns a copy of the altered properties, shortened.
func (e Entry) Diff() []string { return slices.Clone(e.diff) }

// Refused returns why the change was refused, or "".
func (e Entry) Refused() string { return e.refused }

// newEntry returns the entry of a change with all texts bounded.
func newEntry(c Change, now time.Time) Entry {
	return Entry{
		at: now.UTC().Truncate(time.Millisecond), operator: cut(c.Operator(), MaxID),
		address: cut(c.Address(), MaxID), requestID: cut(c.RequestID(), MaxID),
		service: types.ServiceName(cut(string(c.Name()), MaxName)), action: c.Action(),
	}
}

// shorten bounds a diff for the audit entry.
func shorten(diff []string) []string {
	n := min(len(diff), maxAuditLines)
	out := make([]string, 0, n)
	for _, line := range diff[:n] {
		out = append(out, cut(line, maxAuditLine))
	}
	if n < len(diff) {
		out[n-1] = fmt.Sprintf("and %d more", len(diff)-n+1)
	}
	return out
}

// cut returns s as valid UTF-8 of at most n bytes. CBOR text must be UTF-8.
func cut(s string, n int) string {
	if len(s) > n {
		s = s[:n]
	}
	if utf8.ValidString(s) {
		return s
	}
	return cut(strings.ToValidUTF8(s, "?"), n)
}
