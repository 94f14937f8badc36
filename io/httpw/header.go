package httpw

import (
	"strings"
)

// Field is one header line.
type Field struct {
	_     struct{} `cbor:",toarray"`
	Name  string
	Value string
}

// Header holds the header lines of a message in the order they came.
type Header []Field

// Get returns the value of the first line with the name, or "".
func (h Header) Get(name string) string {
	v, _ := h.Lookup(name)
	return v
}

// Lookup returns the value of the first line with the name.
func (h Header) Lookup(name string) (string, bool) {
	for i := range h {
		if strings.EqualFold(h[i].Name, name) {
			return h[i].Value, true
		}
	}
	return "", false
}

// count returns the number of lines with the name.
func (h Header) count(name string) (n int) {
	for i := range h {
		if strings.EqualFold(h[i].Name, name) {
			n++
		}
	}
	return n
}

// Add appends a line.
func (h *Header) Add(name, value string) {
	*h = append(*h, Field{Name: name, Value: value})
}

// Without returns a copy without the lines whose name drop reports true for.
func (h Header) Without(drop func(name string) bool) Header {
	kept := make(Header, 0, len(h)+3)
	for _, f := range h {
		if !drop(f.Name) {
			kept = append(kept, f)
		}
	}
	return kept
}

// hasToken reports whether a list header contains a token.
func (h Header) hasToken(name, token string) bool {
	for i := range h {
		if !strings.EqualFold(h[i].Name, name) {
			continue
		}
		for part := range strings.SplitSeq(h[i].Value, ",") {
			if strings.EqualFold(strings.TrimSpace(part), token) {
				return true
			}
		}
	}
	return false
}

// hopByHop lists the lower-case names that concern one connection only
// (RFC 9110, section 7.6.1), and those that a writer sets itself.
var hopByHop = map[string]bool{
	"connection": true, "keep-alive": true, "proxy-connection": true,
	"proxy-authenticate": true, "proxy-authorization": true, "te": true,
	"trailer": true, "transfer-encoding": true, "upgrade": true,
	"content-length": true, "expect": true,
}

// EndToEnd returns a copy without the lines that concern one connection,
// including those that the Connection header names.
func (h Header) EndToEnd() Header {
	var named []string
	for _, f := range h {
		if strings.EqualFold(f.Name, "Connection") {
			for part := range strings.SplitSeq(f.Value, ",") {
				named = append(named, strings.ToLower(strings.TrimSpace(part)))
			}
		}
	}
	return h.Without(func(name string) bool {
		lower := strings.ToLower(name)
		if hopByHop[lower] {
			return true
		}
		for _, n := range named {
			if n == lower {
				return true
			}
		}
		return false
	})
}
