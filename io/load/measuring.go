package load

import (
	"slices"
	"time"

	"trefoilthread/io/fleet"
)

// budgetWindow is the time in which the cost of measuring a target must not
// exceed its budget, wherever the window begins. The daemon's window is 1 s.
// Probes are counted when they arrive, so two that the daemon kept 1 s apart
// can be seen closer together; 50 ms are allowed for that.
const budgetWindow = time.Second - 50*time.Millisecond

// Measuring is what probes and load queries cost the targets of a service, in
// milliseconds.
type Measuring struct {
	Service string `json:"service"`
	// Total is the cost at all targets since the fleet started.
	Total float64 `json:"totalMs"`
	// Worst is the highest cost at one target in a window, Budget its bound.
	Worst  float64 `json:"worstWindowMs"`
	Budget float64 `json:"budgetMs"`
}

// measuring adds up the cost since the fleet started. Targets that were
// replaced count together with their successors: the VM is the same.
func measuring(f *fleet.Fleet) []Measuring {
	var out []Measuring
	index := map[string]int{}
	for _, n := range f.Nodes() {
		name := string(n.Service().Name())
		i, ok := index[name]
		if !ok {
			i = len(out)
			index[name] = i
			out = append(out, Measuring{Service: name, Budget: millis(n.Service().Config().ProbeBudget())})
		}
		var probes []time.Time
		for _, t := range n.Targets() {
			probes = append(probes, t.Probes()...)
		}
		out[i].Total += millis(time.Duration(len(probes)) * probeCost)
		out[i].Worst = max(out[i].Worst, millis(time.Duration(mostWithin(probes, budgetWindow))*probeCost))
	}
	return out
}

// mostWithin returns the highest number of times within any window.
func mostWithin(times []time.Time, window time.Duration) int {
	slices.SortFunc(times, time.Time.Compare)
	most, first := 0, 0
	for i, t := range times {
		for t.Sub(times[first]) >= window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}
