package config

import (
	"cmp"
	"fmt"
	"strconv"
)

// Problem is one invalid value of a change.
type Problem struct {
	rule    int
	key     string
	value   string
	allowed string
}

// NewProblem returns the problem of the property key, in the spelling of the
// configuration files. Rule is the index of the rule it belongs to, or -1.
func NewProblem(rule int, key, value, allowed string) Problem {
	return Problem{rule: rule, key: key, value: value, allowed: allowed}
}

// Rule returns the index of the rule with the bad value, or -1.
func (p Problem) Rule() int { return p.rule }

// Key returns the name of the property without its path.
func (p Problem) Key() string { return p.key }

// Field returns the path of the property, for example "rules[2].deadline".
func (p Problem) Field() string {
	if p.rule < 0 {
		return p.key
	}
	if p.key == "" {
		return "rules[" + strconv.Itoa(p.rule) + "]"
	}
	return "rules[" + strconv.Itoa(p.rule) + "]." + p.key
}

// Value returns the bad value.
func (p Problem) Value() string { return p.value }

// Allowed tells which values are allowed.
func (p Problem) Allowed() string { return p.allowed }

// String returns field, value and what is allowed in one line.
func (p Problem) String() string {
	return fmt.Sprintf("%s: %s is invalid, allowed: %s", p.Field(), quote(p.value), p.allowed)
}

func compareProblems(a, b Problem) int {
	return cmp.Or(cmp.Compare(a.rule, b.rule), cmp.Compare(a.key, b.key),
		cmp.Compare(a.value, b.value), cmp.Compare(a.allowed, b.allowed))
}

// quote bounds a value that comes from outside and makes it printable.
func quote(s string) string {
	const most = 80
	if len(s) > most {
		return strconv.Quote(s[:most]) + "..."
	}
	return strconv.Quote(s)
}
