package load

import (
	"time"

	"trefoilthread/core/types"
)

// Line is the report on one kind of call. Latencies are in milliseconds and
// count from the intended start of a call.
type Line struct {
	Service string  `json:"service"`
	Call    string  `json:"call"`
	Count   int     `json:"count"`
	P50     float64 `json:"p50Ms"`
	P99     float64 `json:"p99Ms"`
	P999    float64 `json:"p999Ms"`
	NotRun  int     `json:"refusedNotRun"`
	Unknown int     `json:"outcomeUnknown"`
	Late    int     `json:"deadlineExceeded"`
	// Other counts the remaining outcomes that are no answer of a target.
	Other      int     `json:"otherOutcomes"`
	Errors     int     `json:"targetErrors"`
	Worth      float64 `json:"worthAnsweredInTime"`
	Offered    float64 `json:"worthOffered"`
	Duplicates int     `json:"duplicateRuns"`
	FalseNot   int     `json:"refusedButRan"`
	Crossed    int     `json:"crossedAnswers"`
	Cut        int     `json:"cutAnswers"`
	// RunsPerCall is how often targets began to run a call whose request id
	// is known, on average.
	RunsPerCall float64 `json:"runsPerCall"`
}

// NewLine sums up a series. runs tells how often a key or request id ran.
func NewLine(s *Series, runs func(string) int) Line {
	k := s.Kind()
	l := Line{
		Service: k.service, Call: k.call.Name(), Count: s.Count(),
		P50: millis(s.Quantile(0.5)), P99: millis(s.Quantile(0.99)), P999: millis(s.Quantile(0.999)),
		NotRun: s.Outcome(types.NotRun), Unknown: s.Outcome(types.Unknown), Late: s.Outcome(types.DeadlineExceeded),
		Errors: s.Errors(), Crossed: s.Crossed(), Cut: s.Cut(),
	}
	l.Other = l.Count - s.Outcome(types.Done) - l.NotRun - l.Unknown - l.Late
	l.Worth, l.Offered = s.Worth()
	keys, refused := s.Keys()
	for _, key := range keys {
		if runs(key) > 1 {
			l.Duplicates++
		}
	}
	ids, refusedIDs := s.Requests()
	if len(keys) == 0 {
		// A keyed call that was refused is counted by its key alone: one of
		// its retries may have had another request id.
		refused = refusedIDs
	}
	for _, id := range refused {
		if runs(id) > 0 {
			l.FalseNot++
		}
	}
	sum := 0
	for _, id := range ids {
		sum += runs(id)
	}
	if len(ids) > 0 {
		l.RunsPerCall = float64(sum) / float64(len(ids))
	}
	return l
}

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
