package prefs

import (
	"maps"
	"os"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"gopkg.in/ini.v1"

	"trefoilthread/core/types"
	"trefoilthread/io/agent"
	"trefoilthread/io/inierr"
)

// regionsSection lists the region of each data centre.
const regionsSection = "regions"

// Prefs are the checked settings of one file.
type Prefs struct {
	agent     agent.Settings
	store     string
	logLevel  string
	logFormat string
	logRate   int
}

// Agent returns the settings of the agent.
func (p *Prefs) Agent() agent.Settings { return p.agent }

// StoreAddress returns IP and port of the platform's store.
func (p *Prefs) StoreAddress() string { return p.store }

// LogLevel returns the lowest level that is logged.
func (p *Prefs) LogLevel() string { return p.logLevel }

// LogFormat returns the format of log lines.
func (p *Prefs) LogFormat() string { return p.logFormat }

// LogRate returns the number of lines a second that are logged at most.
func (p *Prefs) LogRate() int { return p.logRate }

// Load reads and checks a settings file. Faults in it come as inierr.Errors.
func Load(file string) (*Prefs, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "settings")
	}
	return Parse(file, data)
}

// Parse checks the content of a settings file; file only names it in errors.
func Parse(file string, data []byte) (*Prefs, error) {
	f, err := ini.LoadSources(ini.LoadOptions{IgnoreInlineComment: true}, data)
	if err != nil {
		return nil, inierr.Errors{inierr.New(file, 1, "", "", "", "not understood: "+err.Error())}
	}
	p := &Prefs{}
	var errs inierr.Errors
	pos := inierr.Positions(data)
	for _, k := range keys {
		v := k.deflt
		if sec := f.Section(k.section); sec.HasKey(k.name) && sec.Key(k.name).Value() != "" {
			v = sec.Key(k.name).Value()
		}
		switch {
		case v == "" && !k.optional:
			errs = append(errs, inierr.New(file, pos.Line(k.section, k.name), k.section, k.name, "", "missing; allowed: "+k.allowed))
		case v != "" && !k.set(p, v):
			errs = append(errs, inierr.New(file, pos.Line(k.section, k.name), k.section, k.name, v, "allowed: "+k.allowed))
		}
	}
	p.agent.Regions = make(map[types.DataCentre]string)
	for _, k := range f.Section(regionsSection).Keys() {
		p.agent.Regions[types.DataCentre(k.Name())] = k.Value()
	}
	if len(errs) > 0 {
		return nil, errs.Sorted()
	}
	return p, nil
}

// Reference returns the keys as a Markdown table for each section.
func Reference() string {
	sections := make(map[string][]key)
	for _, k := range keys {
		sections[k.section] = append(sections[k.section], k)
	}
	var b strings.Builder
	for _, name := range slices.Sorted(maps.Keys(sections)) {
		b.WriteString("\n## [" + name + "]\n\n| key | default | allowed | meaning |\n| --- | --- | --- | --- |\n")
		for _, k := range sections[name] {
			b.WriteString("| " + k.name + " | " + k.deflt + " | " + k.allowed + " | " + k.help + " |\n")
		}
	}
	b.WriteString("\n## [regions]\n\nOne key a data centre, its value is the region.\n")
	return b.String()
}
