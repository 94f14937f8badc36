package stand_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"trefoilthread/io/stand"
)

// Guards against a distribution whose mean is not the one that is set, which
// would shift the load of every experiment.
func TestServiceTimeMean(t *testing.T) {
	for _, text := range []string{"20ms", "constant:20ms", "exponential:20ms", "lognormal:20ms:0.8"} {
		is := is.New(t)
		var s stand.ServiceTime
		is.NoErr(s.UnmarshalText([]byte(text)))
		rng := rand.New(rand.NewPCG(1, 2))
		var sum time.Duration
		const n = 100000
		for range n {
			sum += s.Sample(rng)
		}
		is.True(math.Abs(float64(sum)/n/float64(20*time.Millisecond)-1) < 0.02)
	}
}

// Guards against wrong flags that run with another distribution.
func TestServiceTimeRefusesErrors(t *testing.T) {
	for _, text := range []string{"", "20", "uniform:1ms", "constant:1ms:2", "lognormal:1ms", "lognormal:1ms:-1", "exponential:-1ms"} {
		is := is.New(t)
		var s stand.ServiceTime
		is.True(s.UnmarshalText([]byte(text)) != nil)
	}
}
