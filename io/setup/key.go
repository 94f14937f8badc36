package setup

import (
	"fmt"
	"strings"
)

// Key describes one key of the settings file.
type Key struct {
	section string
	name    string
	deflt   string
	unit    string
	help    string
	allowed string
	set     func(s *Settings, v string) error
}

// Section returns the section the key stands in.
func (k Key) Section() string { return k.section }

// Name returns the key's name.
func (k Key) Name() string { return k.name }

// Default returns the value used when the key is absent, "" if it is required
// or empty by default.
func (k Key) Default() string { return k.deflt }

// Unit returns the unit of the value, for example "duration".
func (k Key) Unit() string { return k.unit }

// Help returns what the key is for.
func (k Key) Help() string { return k.help }

// Allowed returns the values that are accepted, for people.
func (k Key) Allowed() string { return k.allowed }

// Defaults returns a settings file with each key, its description and its
// default.
func Defaults() string {
	var b strings.Builder
	last := ""
	for _, k := range keys {
		if k.section != last {
			if last != "" {
				b.WriteString("\n")
			}
			fmt.Fprintf(&b, "[%s]\n", k.section)
			last = k.section
		}
		fmt.Fprintf(&b, "; %s (%s; allowed: %s)\n%s = %s\n", k.help, k.unit, k.allowed, k.name, k.deflt)
	}
	return b.String()
}

// Reference returns the keys as a Markdown table for each section.
func Reference() string {
	var b strings.Builder
	last := ""
	for _, k := range keys {
		if k.section != last {
			fmt.Fprintf(&b, "\n## [%s]\n\n| key | default | unit | allowed | meaning |\n| --- | --- | --- | --- | --- |\n", k.section)
			last = k.section
		}
		d := k.deflt
		if d == "" {
			d = "-"
		}
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s |\n", k.name, d, k.unit, k.allowed, k.help)
	}
	return b.String()
}
