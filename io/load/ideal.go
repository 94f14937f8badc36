package load

import (
	"cmp"
	"slices"
	"time"

	"trefoilthread/io/deploy"
)

// bestWorth returns an upper bound of the worth that a time of load could have
// answered: per service the calls of the highest worth that healthy targets
// can run in that time. counts are the calls sent, in the order of mix.
func bestWorth(d deploy.Deployment, mix []Kind, counts []int, took time.Duration) float64 {
	best := 0.0
	for _, s := range d.Services() {
		room := float64(s.Targets()*s.Config().Slots()) * took.Seconds() / s.Typical().Seconds()
		var own []int
		for i, k := range mix {
			if k.service == string(s.Name()) {
				own = append(own, i)
			}
		}
		slices.SortFunc(own, func(a, b int) int { return cmp.Compare(mix[b].worth, mix[a].worth) })
		for _, i := range own {
			n := min(room, float64(counts[i]))
			best += n * mix[i].worth
			room -= n
		}
	}
	return best
}
