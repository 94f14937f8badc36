package inierr

import "strings"

type place struct{ section, key string }

// Position tells where sections and keys of a file stand.
type Position map[place]int

// Positions returns the first line of each section and key of a file.
func Positions(data []byte) Position {
	pos := Position{}
	section := ""
	for i, line := range strings.Split(string(data), "\n") {
		line = strings.TrimSpace(line)
		if line == "" || line[0] == ';' || line[0] == '#' {
			continue
		}
		if line[0] == '[' {
			section = strings.TrimSpace(strings.TrimSuffix(line[1:], "]"))
			line = ""
		}
		key, _, _ := strings.Cut(line, "=")
		at := place{section, strings.TrimSpace(key)}
		if _, ok := pos[at]; !ok {
			pos[at] = i + 1
		}
	}
	return pos
}

// Line returns the line of a key, else of its section, else 1.
func (p Position) Line(section, key string) int {
	if n := p[place{section, key}]; n > 0 {
		return n
	}
	return max(1, p[place{section, ""}])
}
