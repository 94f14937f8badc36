package config

import (
	"slices"
	"strings"
)

// Invalid is the error of a change with invalid values. It lists all of them.
type Invalid struct {
	problems []Problem
}

// NewInvalid returns the error with the problems sorted by field and without
// repetitions, or nil if there are none.
func NewInvalid(problems ...Problem) error {
	if len(problems) == 0 {
		return nil
	}
	problems = slices.Clone(problems)
	slices.SortFunc(problems, compareProblems)
	return &Invalid{problems: slices.Compact(problems)}
}

// Error implements error with one line for each problem.
func (e *Invalid) Error() string {
	lines := make([]string, len(e.problems))
	for i, p := range e.problems {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// Problems returns a copy of the problems, sorted by field.
func (e *Invalid) Problems() []Problem { return slices.Clone(e.problems) }
