package stand

import (
	"math"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// ServiceTime is the distribution of the time a request occupies a slot.
// Sigma is the standard deviation of the logarithm, for a lognormal one.
type ServiceTime struct {
	Kind  ServiceTimeKind
	Mean  time.Duration
	Sigma float64
}

// UnmarshalText reads "20ms" or "constant:20ms", "exponential:20ms" and
// "lognormal:20ms:0.8".
func (s *ServiceTime) UnmarshalText(text []byte) error {
	parts := strings.Split(string(text), ":")
	if len(parts) == 1 {
		parts = []string{"constant", parts[0]}
	}
	out := ServiceTime{}
	want := 2
	switch parts[0] {
	case "constant":
		out.Kind = Constant
	case "exponential":
		out.Kind = Exponential
	case "lognormal":
		out.Kind, want = Lognormal, 3
	default:
		return errors.Newf("service time %q: unknown distribution, use constant, exponential or lognormal", text)
	}
	if len(parts) != want {
		return errors.Newf("service time %q: %d fields, expected %d", text, len(parts), want)
	}
	mean, err := time.ParseDuration(parts[1])
	if err != nil || mean < 0 {
		return errors.Newf("service time %q: mean %q is no duration", text, parts[1])
	}
	out.Mean = mean
	if out.Kind == Lognormal {
		if out.Sigma, err = strconv.ParseFloat(parts[2], 64); err != nil || out.Sigma < 0 {
			return errors.Newf("service time %q: sigma %q is no number of at least 0", text, parts[2])
		}
	}
	*s = out
	return nil
}

// Sample draws one service time.
func (s ServiceTime) Sample(rng *rand.Rand) time.Duration {
	switch s.Kind {
	case Exponential:
		return time.Duration(rng.ExpFloat64() * float64(s.Mean))
	case Lognormal:
		// The mean of a lognormal is exp(mu + sigma^2/2), so mu is shifted to
		// keep the mean as set, whatever sigma is.
		return time.Duration(float64(s.Mean) * math.Exp(s.Sigma*rng.NormFloat64()-s.Sigma*s.Sigma/2))
	}
	return s.Mean
}
