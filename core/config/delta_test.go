package config_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"trefoilthread/core/config"
	"trefoilthread/core/types"
)

// Guards against a daemon that has other services after a delta than the
// stored document, from any earlier version and also after more changes than
// the audit entries remember, and against a delta that takes a version back.
func TestDeltaLeadsToTheDocument(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		docs := []config.Document{{}}
		doc := config.Document{}
		now := time.Unix(1000, 0)
		n := rapid.SampledFrom([]int{3, 20, config.MaxAudit + 30}).Draw(t, "changes")
		for i := range n {
			name := types.ServiceName(fmt.Sprintf("s%d", rapid.IntRange(0, 5).Draw(t, "service")))
			old, found := doc.Service(name)
			spec := config.ChangeSpec{
				Service: config.NewService(config.ServiceSpec{
					Name: name, DataCentres: []types.DataCentre{"a"}, Slots: 1 + i, Connections: 1 + i,
				}),
				Base: old.Version(), RequestID: fmt.Sprint(i), Operator: "o",
			}
			switch {
			case !found:
				spec.Action = config.Create
			case rapid.Bool().Draw(t, "delete"):
				spec.Action = config.Delete
			default:
				spec.Action = config.Update
			}
			next, _, err := config.Apply(doc, config.NewChange(spec), now)
			if err != nil {
				t.Fatal(err)
			}
			doc = next
			docs = append(docs, doc)
		}
		have := docs[rapid.IntRange(0, len(docs)-1).Draw(t, "have")]
		asked := docs[rapid.IntRange(0, len(docs)-1).Draw(t, "asked")]
		b, err := config.EncodeDelta(doc.DeltaFrom(asked.Version()))
		if err != nil {
			t.Fatal(err)
		}
		dl, err := config.DecodeDelta(b)
		if err != nil {
			t.Fatal(err)
		}
		got, ok := dl.After(have)
		if ok && !(got.Version() == doc.Version() && have.Version() < doc.Version()) {
			t.Fatalf("version %d after %d, want %d", got.Version(), have.Version(), doc.Version())
		}
		if !ok && have.Version() < doc.Version() && have.Version() >= asked.Version() {
			t.Fatalf("delta from %d not taken by %d", asked.Version(), have.Version())
		}
		// Sprint, because empty lists may be nil or not.
		if ok && fmt.Sprint(got.Services()) != fmt.Sprint(doc.Services()) {
			t.Fatalf("services %v, want %v", got.Services(), doc.Services())
		}
	})
}
