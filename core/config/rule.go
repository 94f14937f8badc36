package config

import (
	"strings"
	"time"

	"trefoilthread/core/types"
)

// RuleSpec lists the properties of a Rule.
type RuleSpec struct {
	// Method is an HTTP method, or "*" for any.
	Method string
	// Path is a path; a trailing "*" matches any rest.
	Path string
	// Urgent tells that an answer is worthless after its deadline.
	Urgent bool
	// Runs tells how often the request may run.
	Runs types.Runs
	// Deadline is the time for a call that brings none, in whole milliseconds.
	Deadline time.Duration
	// Worth is the value of an answer in the operator's own unit.
	Worth float64
}

// Rule classifies the requests that match its method and path.
type Rule struct {
	spec RuleSpec
}

// NewRule returns the rule with the given properties, unchecked.
func NewRule(s RuleSpec) Rule { return Rule{spec: s} }

// DefaultRule returns the rule for requests that no rule matches: not urgent,
// at most once, a deadline of 10 s, worth 1. At most once is the safe
// assumption about a request nothing is known of.
func DefaultRule() Rule {
	return Rule{spec: RuleSpec{
		Method: "*", Path: "*", Runs: types.AtMostOnce, Deadline: 10 * time.Second, Worth: 1,
	}}
}

// Spec returns the properties of the rule.
func (r Rule) Spec() RuleSpec { return r.spec }

// Method returns the HTTP method, or "*" for any.
func (r Rule) Method() string { return r.spec.Method }

// Path returns the path pattern.
func (r Rule) Path() string { return r.spec.Path }

// Class returns how matching calls are to be treated.
func (r Rule) Class() types.Class { return types.NewClass(r.spec.Urgent, r.spec.Runs) }

// Deadline returns the time for a call that brings none.
func (r Rule) Deadline() time.Duration { return r.spec.Deadline }

// Worth returns the value of an answer in the operator's own unit.
func (r Rule) Worth() float64 { return r.spec.Worth }

// matches reports whether the rule applies to a method and a path without
// query.
func (r *Rule) matches(method, path string) bool {
	pattern := r.spec.Path
	if n := len(pattern) - 1; n >= 0 && pattern[n] == '*' {
		// The patterns of a service tend to start alike and to differ at the
		// end, so the last byte rejects most of them without a full
		// comparison.
		if len(path) < n || (n > 0 && path[n-1] != pattern[n-1]) || path[:n] != pattern[:n] {
			return false
		}
	} else if path != pattern {
		return false
	}
	return r.spec.Method == "*" || r.spec.Method == method
}

// covers reports whether r matches every request that o matches.
func (r *Rule) covers(o *Rule) bool {
	if r.spec.Method != "*" && r.spec.Method != o.spec.Method {
		return false
	}
	if prefix, ok := strings.CutSuffix(r.spec.Path, "*"); ok {
		return strings.HasPrefix(strings.TrimSuffix(o.spec.Path, "*"), prefix)
	}
	return r.spec.Path == o.spec.Path
}

// isPlain reports whether a target can only resolve the path to itself: it has
// no dot segments, no empty segments, no backslashes and no encoded dots,
// slashes or backslashes.
func isPlain(path string) bool {
	for i := 0; i+1 < len(path); i++ {
		switch path[i] {
		case '/':
			if path[i+1] == '/' || (path[i+1] == '.' && isDots(path[i+1:])) {
				return false
			}
		case '\\':
			return false
		case '%':
			if i+2 < len(path) {
				hi, lo := path[i+1], path[i+2]|0x20
				if (hi == '2' && (lo == 'e' || lo == 'f')) || (hi == '5' && lo == 'c') {
					return false
				}
			}
		}
	}
	return true
}

// isDots reports whether s starts with the segment "." or "..". A segment also
// ends at ";", which some servers strip with what follows.
func isDots(s string) bool {
	n := 1
	if len(s) > 1 && s[1] == '.' {
		n = 2
	}
	return len(s) == n || s[n] == '/' || s[n] == ';'
}
