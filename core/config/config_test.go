package config_test

import (
	"fmt"
	"testing"
	"time"

	"trefoilthread/core/config"
	"trefoilthread/core/types"
)

var now = time.Unix(1_800_000_000, 0)

// newService returns a valid service with four rules and a change of it.
func newService(name string, change func(*config.ServiceSpec)) config.Service {
	rule := func(method, path string, urgent bool, runs types.Runs) config.Rule {
		return config.NewRule(config.RuleSpec{
			Method: method, Path: path, Urgent: urgent, Runs: runs, Deadline: 80 * time.Millisecond, Worth: 1.5,
		})
	}
	s := config.ServiceSpec{
		Name: types.ServiceName(name), DataCentres: []types.DataCentre{"penang-north", "kl-sentral"},
		Slots: 12, Connections: 250, ProbeBudget: 10 * time.Millisecond, RetryShare: 0.1, HedgeShare: 0.05,
		MaxBodyBytes: 1 << 20,
		Rules: []config.Rule{
			rule("GET", "/menu/today", true, types.Idempotent), rule("GET", "/menu*", false, types.Idempotent),
			rule("POST", "/deposits", false, types.AtMostOnce), rule("*", "/status*", true, types.Idempotent),
		},
	}
	if change != nil {
		change(&s)
	}
	return config.NewService(s)
}

func change(a config.Action, s config.Service, base int64, id string) config.Change {
	return config.NewChange(config.ChangeSpec{
		Action: a, Service: s, Base: base, RequestID: id, Operator: "aisyah", Address: "127.0.0.1",
	})
}

// newDocument returns a document with n services and a full history.
func newDocument(tb testing.TB, n int) config.Document {
	tb.Helper()
	var doc config.Document
	var err error
	for i := range n {
		doc, _, err = config.Apply(doc, change(config.Create, newService(fmt.Sprintf("service-%03d", i), nil), 0, fmt.Sprintf("create-%06d-7b1e4c0a9d2f", i)), now)
		if err != nil {
			tb.Fatal(err)
		}
	}
	for i := range config.MaxRequests {
		s, _ := doc.Service("service-000")
		next := newService("service-000", func(p *config.ServiceSpec) { p.Slots = 1 + i%2 })
		doc, _, err = config.Apply(doc, change(config.Update, next, s.Version(), fmt.Sprintf("update-%06d-7b1e4c0a9d2f", i)), now)
		if err != nil {
			tb.Fatal(err)
		}
	}
	return doc
}
