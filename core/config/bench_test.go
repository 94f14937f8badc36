package config_test

import (
	"fmt"
	"testing"

	"trefoilthread/core/config"
)

var sizes = []int{10, 100, 810}

func BenchmarkEncode(b *testing.B) {
	for _, n := range sizes {
		doc := newDocument(b, n)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var out []byte
			for b.Loop() {
				var err error
				if out, err = config.Encode(doc); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(out)), "bytes")
		})
	}
}

func BenchmarkDecode(b *testing.B) {
	for _, n := range sizes {
		doc, err := config.Encode(newDocument(b, n))
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				if _, err := config.Decode(doc); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func BenchmarkApply(b *testing.B) {
	for _, n := range sizes {
		doc := newDocument(b, n)
		s, _ := doc.Service("service-000")
		c := change(config.Update, newService("service-000", func(p *config.ServiceSpec) { p.Slots = 7 }), s.Version(), "bench")
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				if _, _, err := config.Apply(doc, c, now); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// The worst case: 64 rules of which only the last one matches.
func BenchmarkClassify(b *testing.B) {
	s := newService("bookings", func(s *config.ServiceSpec) {
		s.Rules = nil
		for i := range config.MaxRules {
			s.Rules = append(s.Rules, config.NewRule(config.RuleSpec{Method: "GET", Path: fmt.Sprintf("/menu/section-%02d*", i)}))
		}
	})
	b.ReportAllocs()
	for b.Loop() {
		if r := s.Classify("GET", "/menu/section-63/oysters?day=friday"); r.Method() == "*" {
			b.Fatal("wrong rule")
		}
	}
}
