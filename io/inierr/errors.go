package inierr

import (
	"slices"
	"strings"
)

// Errors are all faults of a file.
type Errors []*Error

// Error implements error with a line for each fault.
func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i, one := range e {
		lines[i] = one.Error()
	}
	return strings.Join(lines, "\n")
}

// Sorted returns the faults by line.
func (e Errors) Sorted() Errors {
	slices.SortStableFunc(e, func(a, b *Error) int { return a.line - b.line })
	return e
}
