package setup

import (
	"os"
	"strings"

	"github.com/cockroachdb/errors"
	"gopkg.in/ini.v1"

	"trefoilthread/io/inierr"
)

// operatorsSection lists operators: the key is the name, the value the SHA-256
// of the token in hexadecimal.
const operatorsSection = "operators"

// Load reads and checks a settings file. Faults in it come as Errors.
func Load(file string) (*Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "settings")
	}
	return Parse(file, data)
}

// Parse checks the content of a settings file; file only names it in errors.
func Parse(file string, data []byte) (*Settings, error) {
	f, err := ini.LoadSources(ini.LoadOptions{AllowShadows: true, IgnoreInlineComment: true}, data)
	if err != nil {
		// The library's message quotes the line, which may hold a token.
		return nil, Errors{inierr.New(file, malformed(data), "", "", "", "not understood; allowed: [section], key = value, ; comment")}
	}
	c := &checker{file: file, f: f, pos: inierr.Positions(data), s: &Settings{operators: map[string][32]byte{}}}
	c.unknown()
	c.known()
	c.operators()
	c.distinct()
	if len(c.errs) > 0 {
		return nil, c.errs.Sorted()
	}
	return c.s, nil
}

// malformed returns the first line that looks like nothing an INI file has, or
// the first line of the file.
func malformed(data []byte) int {
	for i, line := range strings.Split(string(data), "\n") {
		line = strings.TrimSpace(line)
		if line == "" || strings.ContainsAny(line[:1], ";#") {
			continue
		}
		isSection := line[0] == '[' && strings.HasSuffix(line, "]")
		key, _, ok := strings.Cut(line, "=")
		if !isSection && (!ok || strings.ContainsAny(key, "`\"")) {
			return i + 1
		}
	}
	return 1
}

// checker collects the faults of one file.
type checker struct {
	file string
	f    *ini.File
	pos  inierr.Position
	s    *Settings
	errs Errors
}

func (c *checker) fault(section, key, value, problem string) {
	c.errs = append(c.errs, inierr.New(c.file, c.pos.Line(section, key), section, key, value, problem))
}

func (c *checker) unknown() {
	for _, sec := range c.f.Sections() {
		name := sec.Name()
		if name == operatorsSection {
			continue
		}
		known := map[string]bool{}
		for _, k := range keys {
			if k.section == name {
				known[k.name] = true
			}
		}
		if len(known) == 0 && (name != ini.DefaultSection || len(sec.Keys()) > 0) {
			c.fault(strings.TrimPrefix(name, ini.DefaultSection), "", "", "unknown section")
			continue
		}
		for _, k := range sec.Keys() {
			if !known[k.Name()] {
				c.fault(name, k.Name(), k.Value(), "unknown key")
			}
		}
	}
}

func (c *checker) known() {
	for _, k := range keys {
		sec := c.f.Section(k.section)
		v := k.deflt
		if sec.HasKey(k.name) {
			if len(sec.Key(k.name).ValueWithShadows()) > 1 {
				c.fault(k.section, k.name, "", "given more than once")
				continue
			}
			v = sec.Key(k.name).Value()
		} else if v == "" {
			c.fault(k.section, k.name, "", "missing; allowed: "+k.allowed)
			continue
		}
		if err := k.set(c.s, v); err != nil {
			c.fault(k.section, k.name, v, "allowed: "+k.allowed)
		}
	}
}

func (c *checker) operators() {
	if !c.f.HasSection(operatorsSection) {
		return
	}
	for _, k := range c.f.Section(operatorsSection).Keys() {
		h, err := tokenHash(k.Value())
		if err != nil {
			// The value may be a token typed by mistake, so it is not shown.
			c.fault(operatorsSection, k.Name(), "", "allowed: SHA-256 of the token, 64 hexadecimal digits")
			continue
		}
		c.s.operators[k.Name()] = h
	}
}

// distinct refuses two addresses alike. Callers and local share the TCP port
// space; peers are UDP, but one address for two purposes is a slip all the same.
func (c *checker) distinct() {
	seen := map[string]string{}
	for _, a := range []struct{ key, addr string }{{"callers", c.s.callers}, {"peers", c.s.peers}, {"local", c.s.local}} {
		if a.addr == "" || strings.HasSuffix(a.addr, ":0") {
			continue
		}
		if other, ok := seen[a.addr]; ok {
			c.fault("listen", a.key, a.addr, "same address as "+other)
			continue
		}
		seen[a.addr] = a.key
	}
}
