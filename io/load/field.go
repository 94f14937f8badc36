package load

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"trefoilthread/core/route"
)

// field is one key of a section: its default, what is allowed and how a value
// is stored. A field without a default is required.
type field struct {
	name     string
	deflt    string
	allowed  string
	optional bool // no default, and may be absent
	set      func(v string) bool
}

func durationField(name, deflt string, lo, hi time.Duration, to *time.Duration) field {
	return field{name: name, deflt: deflt, allowed: lo.String() + " to " + hi.String(), set: func(v string) bool {
		d, err := time.ParseDuration(v)
		*to = d
		return err == nil && d >= lo && d <= hi
	}}
}

func numberField(name, deflt string, lo, hi float64, to *float64) field {
	text := strconv.FormatFloat(lo, 'g', -1, 64) + " to " + strconv.FormatFloat(hi, 'g', -1, 64)
	return field{name: name, deflt: deflt, allowed: text, set: func(v string) bool {
		x, err := strconv.ParseFloat(v, 64)
		*to = x
		return err == nil && x >= lo && x <= hi
	}}
}

func integerField(name, deflt string, lo, hi int, to *int) field {
	return field{name: name, deflt: deflt, allowed: strconv.Itoa(lo) + " to " + strconv.Itoa(hi), set: func(v string) bool {
		n, err := strconv.Atoi(v)
		*to = n
		return err == nil && n >= lo && n <= hi
	}}
}

func choiceField(name, deflt string, choices []string, to *string) field {
	return field{name: name, deflt: deflt, allowed: strings.Join(choices, ", "), set: func(v string) bool {
		*to = v
		return slices.Contains(choices, v)
	}}
}

func policiesField(name string, to *[]string) field {
	all := "weighted, random, roundRobin, leastOutstanding"
	return field{name: name, deflt: all, allowed: "different ones of " + all, set: func(v string) bool {
		*to = nil
		for _, p := range strings.Split(v, ",") {
			p = strings.TrimSpace(p)
			if _, ok := route.ParsePolicy(p); !ok || slices.Contains(*to, p) {
				return false
			}
			*to = append(*to, p)
		}
		return true
	}}
}
