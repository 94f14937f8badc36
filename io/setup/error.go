package setup

import (
	"fmt"
	"slices"
	"strings"
)

// Error is one fault of a settings file.
type Error struct {
	file    string
	line    int
	section string
	key     string
	value   string
	problem string
}

// Error implements error.
func (e *Error) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s:%d:", e.file, e.line)
	if e.section != "" {
		fmt.Fprintf(&b, " [%s]", e.section)
	}
	if e.key != "" {
		fmt.Fprintf(&b, " %s", e.key)
	}
	if e.value != "" {
		fmt.Fprintf(&b, " = %q", e.value)
	}
	return b.String() + ": " + e.problem
}

// Line returns the line of the fault, counted from 1.
func (e *Error) Line() int { return e.line }

// Errors are all faults of a settings file, by line.
type Errors []*Error

// Error implements error with a line for each fault.
func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i, one := range e {
		lines[i] = one.Error()
	}
	return strings.Join(lines, "\n")
}

func (e Errors) sorted() Errors {
	slices.SortStableFunc(e, func(a, b *Error) int { return a.line - b.line })
	return e
}
