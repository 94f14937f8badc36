package change

import (
	"slices"
	"strings"
)

// Errors is the error of a file. It lists all errors, sorted by line.
type Errors struct {
	list []Error
}

func newErrors(list []Error) error {
	if len(list) == 0 {
		return nil
	}
	slices.SortFunc(list, compareErrors)
	return &Errors{list: slices.Compact(list)}
}

// Error implements error with one line for each error.
func (e *Errors) Error() string {
	lines := make([]string, len(e.list))
	for i, x := range e.list {
		lines[i] = x.Error()
	}
	return strings.Join(lines, "\n")
}

// All returns a copy of the errors, sorted by line.
func (e *Errors) All() []Error { return slices.Clone(e.list) }
