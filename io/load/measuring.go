package load

import (
	"time"

	"trefoilthread/io/fleet"
)

// Measuring is what probes and load queries cost the targets of a service, in
// milliseconds.
type Measuring struct {
	Service string  `json:"service"`
	Spent   float64 `json:"spentMs"`
	Budget  float64 `json:"budgetMs"`
}

// measuring adds up the cost since the fleet started. The budget is per target
// and second; a second that has begun counts in full.
func measuring(f *fleet.Fleet, took time.Duration) []Measuring {
	var out []Measuring
	index := map[string]int{}
	for _, n := range f.Nodes() {
		name := string(n.Service().Name())
		i, ok := index[name]
		if !ok {
			i = len(out)
			index[name] = i
			out = append(out, Measuring{Service: name})
		}
		for _, t := range n.Targets() {
			st := t.Stats()
			out[i].Spent += millis(time.Duration(st.HealthProbes+st.LoadProbes) * probeCost)
		}
		out[i].Budget += millis(n.Service().Config().ProbeBudget()) * float64(int(took.Seconds())+1)
	}
	return out
}
