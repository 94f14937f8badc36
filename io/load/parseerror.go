package load

import (
	"fmt"
	"slices"
	"strings"
)

// ParseError is one fault of a scenario file.
type ParseError struct {
	file    string
	line    int
	section string
	key     string
	value   string
	problem string
}

// Error implements error, for example
//
//	rush.ini:4: [scenario] load = "many": allowed: above 0 to 3
func (e ParseError) Error() string {
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

// ParseErrors are all faults of a scenario file, by line.
type ParseErrors []ParseError

// Error implements error with a line for each fault.
func (e ParseErrors) Error() string {
	lines := make([]string, len(e))
	for i, one := range e {
		lines[i] = one.Error()
	}
	return strings.Join(lines, "\n")
}

func (e ParseErrors) sorted() ParseErrors {
	slices.SortStableFunc(e, func(a, b ParseError) int { return a.line - b.line })
	return e
}
