package inierr

import (
	"fmt"
	"strings"
)

// Error is one fault of an INI file.
type Error struct {
	file    string
	line    int
	section string
	key     string
	value   string
	problem string
}

// New returns the fault of a line. Section, key and value may be empty.
func New(file string, line int, section, key, value, problem string) *Error {
	return &Error{file: file, line: line, section: section, key: key, value: value, problem: problem}
}

// Error implements error, for example
//
//	daemon.ini:4: [store] writesPerSecond = "many": allowed: 0.1 to 1000
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
