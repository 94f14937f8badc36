package change

import (
	"strings"

	"gopkg.in/ini.v1"
)

// section is one section of a file with the lines of its keys.
type section struct {
	line   int
	header string
	kind   string
	names  []string
	lines  map[string]int
	text   strings.Builder
	values map[string]string
	bad    map[string]bool
}

// options let ini.v1 take each line as it is.
var options = ini.LoadOptions{
	IgnoreContinuation: true, IgnoreInlineComment: true, KeyValueDelimiters: "=",
}

// load parses the lines of the section.
func (s *section) load() error {
	f, err := ini.LoadSources(options, []byte(s.text.String()))
	if err != nil {
		return err
	}
	s.values = make(map[string]string, len(s.lines))
	for _, k := range f.Section("").Keys() {
		s.values[k.Name()] = k.Value()
	}
	return nil
}

// lineOf returns the line of a key, or of the header if there is no such key.
func (s *section) lineOf(key string) int {
	if n, ok := s.lines[key]; ok {
		return n
	}
	return s.line
}

// parseHeader splits a header such as [rule "bookings" "GET" "/menu*"] into
// its kind and the quoted names. It reports false for any other form.
func parseHeader(header string) (kind string, names []string, ok bool) {
	inner, found := strings.CutSuffix(strings.TrimPrefix(header, "["), "]")
	if !found {
		return "", nil, false
	}
	parts := strings.Split(inner, `"`)
	if len(parts)%2 == 0 {
		return "", nil, false
	}
	for i, p := range parts {
		switch {
		case i == 0:
			kind = strings.TrimSpace(p)
		case i%2 == 1:
			names = append(names, p)
		case strings.TrimSpace(p) != "" || (p == "" && i < len(parts)-1):
			return "", nil, false
		}
	}
	want := map[string]int{"service": 1, "rule": 3}
	return kind, names, want[kind] > 0 && len(names) == want[kind]
}
