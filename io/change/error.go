package change

import (
	"cmp"
	"fmt"
	"strconv"
)

// Error is one error of a file, with its position.
type Error struct {
	file    string
	line    int
	section string
	key     string
	value   string
	allowed string
}

// Error implements error, for example
//
//	bookings.ini:4: [service "bookings"] slots: "many" is invalid, allowed: a whole number
func (e Error) Error() string {
	s := e.file + ":" + strconv.Itoa(e.line) + ": "
	if e.section != "" {
		s += clip(e.section) + " "
	}
	if e.key != "" {
		s += clip(e.key) + ": "
	}
	return s + fmt.Sprintf("%q is invalid, allowed: %s", clip(e.value), e.allowed)
}

// File returns the name of the file.
func (e Error) File() string { return e.file }

// Line returns the line, 1 for the first one.
func (e Error) Line() int { return e.line }

// Section returns the header of the section with its brackets, or "".
func (e Error) Section() string { return e.section }

// Key returns the key with the bad value, or "" for the section itself.
func (e Error) Key() string { return e.key }

// Value returns the bad value.
func (e Error) Value() string { return e.value }

// Allowed tells which values are allowed.
func (e Error) Allowed() string { return e.allowed }

func compareErrors(a, b Error) int {
	return cmp.Or(cmp.Compare(a.line, b.line), cmp.Compare(a.key, b.key),
		cmp.Compare(a.value, b.value), cmp.Compare(a.allowed, b.allowed))
}

// clip bounds a text of the file in a message.
func clip(s string) string {
	const most = 120
	if len(s) > most {
		return s[:most] + "..."
	}
	return s
}
