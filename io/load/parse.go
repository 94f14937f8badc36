package load

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"gopkg.in/ini.v1"

	"trefoilthread/io/deploy"
	"trefoilthread/io/inierr"
)

const (
	scenarioSection = "scenario"
	rushSection     = "rush"
	faultPrefix     = "fault "
	callPrefix      = "call "
)

// Load reads and checks a scenario file. Faults in it come as ParseErrors.
func Load(file string) (*Scenario, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "scenario")
	}
	return Parse(file, data)
}

// Parse checks the content of a scenario file; file only names it in errors.
func Parse(file string, data []byte) (*Scenario, error) {
	f, err := ini.LoadSources(ini.LoadOptions{AllowShadows: true, IgnoreInlineComment: true}, data)
	if err != nil {
		return nil, ParseErrors{inierr.New(file, 1, "", "", "", err.Error())}
	}
	p := &parser{file: file, ini: f, pos: inierr.Positions(data), s: &Scenario{
		name: strings.TrimSuffix(filepath.Base(file), ".ini"), calls: map[string]deploy.CallChange{},
	}}
	p.scenario()
	for _, sec := range f.Sections() {
		switch name := sec.Name(); {
		case name == scenarioSection:
		case name == ini.DefaultSection && len(sec.Keys()) == 0:
		case name == rushSection:
			p.rush(sec)
		case strings.HasPrefix(name, faultPrefix):
			p.fault(sec)
		case strings.HasPrefix(name, callPrefix):
			p.call(sec)
		default:
			p.bad(name, "", "", "unknown section; allowed: [scenario], [rush], [fault NAME], [call NAME]")
		}
	}
	if len(p.errs) > 0 {
		return nil, p.errs.Sorted()
	}
	p.s.dep = p.s.dep.With(p.s.typical, p.s.calls)
	return p.s, nil
}

// parser collects the faults of one file.
type parser struct {
	file string
	ini  *ini.File
	pos  inierr.Position
	s    *Scenario
	errs ParseErrors
}

func (p *parser) bad(section, key, value, problem string) {
	section = strings.TrimPrefix(section, ini.DefaultSection)
	p.errs = append(p.errs, inierr.New(p.file, p.pos.Line(section, key), section, key, value, problem))
}

// fields stores the values of a section and reports whether all are allowed.
func (p *parser) fields(sec *ini.Section, fields []field) bool {
	before := len(p.errs)
	known := map[string]bool{}
	for _, f := range fields {
		known[f.name] = true
		v := f.deflt
		if sec.HasKey(f.name) {
			v = sec.Key(f.name).Value()
			if len(sec.Key(f.name).ValueWithShadows()) > 1 {
				p.bad(sec.Name(), f.name, "", "given more than once")
				continue
			}
		} else if f.optional {
			continue
		} else if v == "" {
			p.bad(sec.Name(), f.name, "", "missing; allowed: "+f.allowed)
			continue
		}
		if !f.set(v) {
			p.bad(sec.Name(), f.name, v, "allowed: "+f.allowed)
		}
	}
	for _, k := range sec.Keys() {
		if !known[k.Name()] {
			p.bad(sec.Name(), k.Name(), k.Value(), "unknown key")
		}
	}
	return len(p.errs) == before
}

func (p *parser) scenario() {
	s := p.s
	sec := p.ini.Section(scenarioSection)
	ok := p.fields(sec, []field{
		choiceField("deployment", "", append(deploy.Names(), "small"), &s.deployment),
		integerField("targets", "4", 1, 64, &s.targets),
		numberField("load", "0.7", 0.001, 3, &s.load),
		durationField("duration", "16s", 100*time.Millisecond, time.Hour, &s.duration),
		durationField("slice", "1s", 50*time.Millisecond, time.Minute, &s.slice),
		{name: "seed", deflt: "1", allowed: "a whole number of at least 0", set: func(v string) (ok bool) {
			n, err := strconv.ParseUint(v, 10, 64)
			s.seed = n
			return err == nil
		}},
		durationField("serviceTime", "40ms", time.Microsecond, 10*time.Second, &s.typical),
		numberField("sigma", "0.5", 0, 3, &s.sigma),
		policiesField("policies", &s.policies),
	})
	if sec.HasKey("targets") && s.deployment != "small" {
		p.bad(scenarioSection, "targets", sec.Key("targets").Value(), "allowed: only with deployment = small")
	}
	if !ok {
		// The other sections are still checked, against some deployment.
		s.policies, s.duration = []string{"weighted"}, time.Hour
	}
	if d, known := deploy.Named(s.deployment); known {
		s.dep = d
	} else {
		s.dep = deploy.Small(max(1, s.targets), s.typical)
	}
}

func (p *parser) rush(sec *ini.Section) {
	r := &rush{}
	turn := p.s.Turn()
	if p.fields(sec, []field{
		durationField("at", "", 0, turn, &r.at),
		durationField("for", "", time.Millisecond, turn, &r.lasts),
		numberField("load", "", 0.001, 3, &r.load),
	}) && p.ends(sec, r.at, r.lasts) {
		p.s.rush = r
	}
}

// ends reports whether a time range lies within the load of a policy.
func (p *parser) ends(sec *ini.Section, at, lasts time.Duration) bool {
	turn := p.s.Turn()
	if at+lasts <= turn {
		return true
	}
	p.bad(sec.Name(), "for", lasts.String(), "allowed: at most "+(turn-at).String()+", the rest of a policy's load")
	return false
}

func (p *parser) call(sec *ini.Section) {
	name := strings.TrimPrefix(sec.Name(), callPrefix)
	var names []string
	for _, s := range p.s.dep.Services() {
		for _, c := range s.Calls() {
			names = append(names, c.Name())
			if c.Name() == name {
				p.callFields(sec, name)
				return
			}
		}
	}
	p.bad(sec.Name(), "", "", "unknown call; allowed: "+strings.Join(names, ", "))
}

func (p *parser) callFields(sec *ini.Section, name string) {
	c := deploy.CallChange{Share: -1, Worth: -1}
	fields := []field{
		numberField("share", "", 0, 1, &c.Share),
		durationField("deadline", "", time.Millisecond, time.Minute, &c.Deadline),
		numberField("worth", "", 0, 1e9, &c.Worth),
	}
	for i := range fields {
		fields[i].optional = true
	}
	if p.fields(sec, fields) {
		p.s.calls[name] = c
	}
}
