package change

import (
	"slices"
	"strings"
)

var (
	serviceKeys = []string{"version", "dataCentres", "slots", "connections", "probeBudget", "retryShare", "hedgeShare", "maxBodyBytes"}
	ruleKeys    = []string{"urgent", "runs", "deadline", "worth"}
)

// scanner splits a file into sections and collects the errors.
type scanner struct {
	file     string
	sections []*section
	errors   []Error
}

func (s *scanner) fail(line int, header, key, value, allowed string) {
	s.errors = append(s.errors, Error{file: s.file, line: line, section: header, key: key, value: value, allowed: allowed})
}

// scan reads all lines. Sections with a bad header are left out with all their
// keys, of which nothing can be said.
func (s *scanner) scan(data string) {
	var cur *section
	skip := false
	for i, line := range strings.Split(strings.TrimPrefix(data, "\ufeff"), "\n") {
		line = strings.TrimSpace(line)
		switch {
		case line == "" || line[0] == '#' || line[0] == ';':
		case line[0] == '[':
			kind, names, ok := parseHeader(line)
			if skip = !ok; skip {
				s.fail(i+1, "", "", line, `[service "name"] or [rule "service" "method" "path"]`)
				continue
			}
			cur = &section{line: i + 1, header: line, kind: kind, names: names, lines: map[string]int{}, bad: map[string]bool{}}
			s.sections = append(s.sections, cur)
		case skip:
		case cur == nil:
			s.fail(i+1, "", "", line, "keys in a section")
		default:
			s.key(cur, i+1, line)
		}
	}
	for _, sec := range s.sections {
		if err := sec.load(); err != nil {
			s.fail(sec.line, sec.header, "", err.Error(), "lines of the form key = value")
		}
	}
}

// key checks the line of a key before ini.v1 sees it.
func (s *scanner) key(sec *section, line int, text string) {
	key, value, ok := strings.Cut(text, "=")
	key, value = strings.TrimSpace(key), strings.TrimSpace(value)
	keys := serviceKeys
	if sec.kind == "rule" {
		keys = ruleKeys
	}
	switch {
	case !ok:
		s.fail(line, sec.header, "", text, "lines of the form key = value")
	case !slices.Contains(keys, key):
		s.fail(line, sec.header, "", key, "the keys "+strings.Join(keys, ", "))
	case sec.lines[key] > 0:
		s.fail(line, sec.header, key, value, "each key once")
	case strings.HasPrefix(value, `"""`) || strings.HasPrefix(value, "`"):
		s.fail(line, sec.header, key, value, "values in one line, without \"\"\" and `")
		sec.lines[key], sec.bad[key] = line, true
	default:
		sec.lines[key] = line
		sec.text.WriteString(key + " = " + value + "\n")
	}
}
