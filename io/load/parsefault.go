package load

import (
	"slices"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// fault reads one fault section. Keys that its kind does not take are unknown
// ones.
func (p *parser) fault(sec *ini.Section) {
	f := Fault{}
	turn := p.s.Turn()
	kind := FaultKind(sec.Key("kind").Value())
	if _, ok := faultKeys[kind]; !ok {
		if kind == "" {
			p.bad(sec.Name(), "kind", "", "missing; allowed: "+faultKinds())
		} else {
			p.bad(sec.Name(), "kind", string(kind), "allowed: "+faultKinds())
		}
		return
	}
	var services []string
	most := 0
	for _, s := range p.s.dep.Services() {
		services = append(services, string(s.Name()))
		most += s.Targets()
	}
	text := ""
	service := choiceField("service", "", services, &f.service)
	service.optional = kind != Poison
	targets := integerField("targets", "", 1, most, &f.targets)
	targets.optional = true
	lasts := durationField("for", "", time.Millisecond, turn, &f.lasts)
	lasts.optional = kind != Crash && kind != StoreOutage && kind != Poison
	all := []field{
		choiceField("kind", "", strings.Split(faultKinds(), ", "), &text),
		durationField("at", "0s", 0, turn, &f.at),
		lasts, service, targets,
		numberField("factor", "10", 1, 1000, &f.factor),
		numberField("share", "1", 0.001, 1, &f.share),
		durationField("period", "500ms", 10*time.Millisecond, time.Minute, &f.period),
	}
	fields := slices.DeleteFunc(all, func(k field) bool { return !kind.takes(k.name) })
	if p.fields(sec, fields) && p.ends(sec, f.at, f.lasts) {
		f.kind = kind
		p.s.faults = append(p.s.faults, f)
	}
}
