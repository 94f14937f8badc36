package change

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"trefoilthread/core/config"
	"trefoilthread/core/types"
)

// DefaultService returns the values of the keys that a file may leave out:
// probeBudget 10ms, retryShare 0.1, hedgeShare 0.05, maxBodyBytes 1 MiB.
func DefaultService() config.ServiceSpec {
	return config.ServiceSpec{ProbeBudget: 10 * time.Millisecond, RetryShare: 0.1, HedgeShare: 0.05, MaxBodyBytes: 1 << 20}
}

// draft is a service while its file is read.
type draft struct {
	spec    config.ServiceSpec
	section *section
	rules   []*section
}

// Parse returns the services of a file in the order of the file, each with the
// version that it was made from. The name of the file is used in errors only.
// The error is *Errors.
func Parse(file string, data []byte) ([]config.Service, error) {
	s := &scanner{file: file}
	if len(data) > config.MaxBytes {
		s.fail(1, "", "", strconv.Itoa(len(data))+" bytes", fmt.Sprintf("files of at most %d bytes", config.MaxBytes))
		return nil, newErrors(s.errors)
	}
	s.scan(string(data))
	drafts := s.drafts()
	out := make([]config.Service, 0, len(drafts))
	for _, d := range drafts {
		svc := config.NewService(d.spec)
		for _, p := range config.Validate(svc) {
			s.problem(d, p)
		}
		out = append(out, svc)
	}
	if err := newErrors(s.errors); err != nil {
		return nil, err
	}
	return out, nil
}

// drafts reads the services and adds their rules.
func (s *scanner) drafts() []*draft {
	var list []*draft
	byName := map[string]*draft{}
	for _, sec := range s.sections {
		if sec.kind != "service" {
			continue
		}
		if first, ok := byName[sec.names[0]]; ok {
			s.fail(sec.line, sec.header, "", sec.names[0], fmt.Sprintf("each service once (first in line %d)", first.section.line))
			continue
		}
		d := &draft{section: sec, spec: s.service(sec)}
		byName[sec.names[0]] = d
		list = append(list, d)
	}
	for _, sec := range s.sections {
		if sec.kind != "rule" {
			continue
		}
		d, ok := byName[sec.names[0]]
		if !ok {
			s.fail(sec.line, sec.header, "", sec.names[0], "the name of a service in this file")
			continue
		}
		d.rules = append(d.rules, sec)
		d.spec.Rules = append(d.spec.Rules, s.rule(sec))
	}
	return list
}

func (s *scanner) service(sec *section) config.ServiceSpec {
	spec := DefaultService()
	spec.Name = types.ServiceName(sec.names[0])
	v := values{scanner: s, section: sec}
	v.integer("version", &spec.Version)
	if spec.Version < 0 {
		s.fail(sec.lineOf("version"), sec.header, "version", strconv.FormatInt(spec.Version, 10), "0 or more")
	}
	v.dataCentres("dataCentres", &spec.DataCentres)
	v.count("slots", &spec.Slots)
	v.count("connections", &spec.Connections)
	v.duration("probeBudget", &spec.ProbeBudget)
	v.float("retryShare", &spec.RetryShare)
	v.float("hedgeShare", &spec.HedgeShare)
	v.integer("maxBodyBytes", &spec.MaxBodyBytes)
	return spec
}

func (s *scanner) rule(sec *section) config.Rule {
	spec := config.DefaultRule().Spec()
	spec.Method, spec.Path = sec.names[1], sec.names[2]
	v := values{scanner: s, section: sec}
	v.boolean("urgent", &spec.Urgent)
	v.runs("runs", &spec.Runs)
	v.duration("deadline", &spec.Deadline)
	v.float("worth", &spec.Worth)
	return config.NewRule(spec)
}

// problem adds a problem of a service with the position of its value.
func (s *scanner) problem(d *draft, p config.Problem) {
	sec := d.section
	if p.Rule() >= 0 {
		sec = d.rules[p.Rule()]
	}
	if sec.bad[p.Key()] {
		return // already reported
	}
	value := p.Value()
	if _, ok := sec.lines[p.Key()]; !ok && slices.Contains(serviceKeys, p.Key()) {
		value = "" // the default is not what the operator wrote
	}
	s.fail(sec.lineOf(p.Key()), sec.header, p.Key(), value, p.Allowed())
}
