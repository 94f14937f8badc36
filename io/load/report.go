package load

import (
	"encoding/json"
	"io"
)

// Report compares the policies of a scenario.
type Report struct {
	Scenario   string `json:"scenario"`
	Deployment string `json:"deployment"`
	// Seconds is the time of load of each policy, Rate the calls a second at
	// its start, Capacity those that the targets can run.
	Seconds  float64        `json:"secondsPerPolicy"`
	Rate     float64        `json:"callsPerSecond"`
	Capacity float64        `json:"capacityCallsPerSecond"`
	Policies []PolicyReport `json:"policies"`
}

func newReport(s *Scenario, all []*contender) *Report {
	r := &Report{
		Scenario: s.name, Deployment: s.dep.Name(), Seconds: s.Turn().Seconds(),
		Rate: s.rateAt(0), Capacity: Capacity(s.dep),
	}
	for _, c := range all {
		r.Policies = append(r.Policies, c.report())
	}
	return r
}

// Broken returns the broken promises of all policies.
func (r *Report) Broken() []string {
	var out []string
	for _, p := range r.Policies {
		out = append(out, p.Broken...)
	}
	return out
}

// Kept reports whether all promises held.
func (r *Report) Kept() bool { return len(r.Broken()) == 0 }

// WriteJSON writes the report as JSON.
func (r *Report) WriteJSON(w io.Writer) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(r)
}
