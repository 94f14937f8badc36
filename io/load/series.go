package load

import (
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"trefoilthread/core/types"
)

const (
	// histogramMax is the longest latency that is told apart, in microseconds.
	histogramMax    = 60_000_000
	histogramDigits = 3
	// maxReasons bounds the different failures that are told apart.
	maxReasons = 64
)

// Series collects the results of one kind of call.
type Series struct {
	kind Kind

	mu       sync.Mutex
	hist     *hdrhistogram.Histogram // microseconds, answered calls only
	ended    *hdrhistogram.Histogram // microseconds, all calls but those refused as not run
	outcomes map[types.Outcome]int
	errors   int // answers with a status of 500 or more from the target itself
	crossed  int
	cut      int
	worth    float64
	offered  float64
	keys     []string
	refused  []string // keys of calls refused as not run
	ids      []string // request ids, those that are known
	refIDs   []string // request ids of calls refused as not run
	aborted  int
	reasons  map[string]int
}

func newSeries(k Kind) *Series {
	return &Series{
		kind:     k,
		hist:     hdrhistogram.New(1, histogramMax, histogramDigits),
		ended:    hdrhistogram.New(1, histogramMax, histogramDigits),
		outcomes: map[types.Outcome]int{},
		reasons:  map[string]int{},
	}
}

// result is what one call came to.
type result struct {
	outcome types.Outcome
	status  int
	latency time.Duration
	key     string
	request string // id of the request at the targets, if the answer has it
	reason  string // why there was no answer
	crossed bool
	cut     bool
	aborted bool // the run ended while the call was under way
}

func (s *Series) add(r result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outcomes[r.outcome]++
	s.offered += s.kind.worth
	if r.key != "" {
		s.keys = append(s.keys, r.key)
		if r.outcome.ProvesNotRun() {
			s.refused = append(s.refused, r.key)
		}
	}
	if r.request != "" {
		s.ids = append(s.ids, r.request)
		if r.outcome.ProvesNotRun() {
			s.refIDs = append(s.refIDs, r.request)
		}
	}
	if r.aborted {
		s.aborted++
	}
	if r.reason != "" && len(s.reasons) < maxReasons {
		s.reasons[r.reason]++
	}
	if r.crossed {
		s.crossed++
	}
	if r.cut {
		s.cut++
	}
	us := min(max(r.latency.Microseconds(), 1), histogramMax)
	// The value is within the histograms' range, so recording cannot fail.
	if !r.outcome.ProvesNotRun() && !r.aborted {
		_ = s.ended.RecordValue(us)
	}
	if r.outcome != types.Done {
		return
	}
	if r.status >= 500 {
		s.errors++
		return
	}
	_ = s.hist.RecordValue(us)
	if !s.kind.urgent || r.latency <= s.kind.timeout {
		s.worth += s.kind.worth
	}
}

// Kind returns the kind of call.
func (s *Series) Kind() Kind { return s.kind }

// Count returns the number of calls sent.
func (s *Series) Count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, c := range s.outcomes {
		n += c
	}
	return n
}

// Outcome returns the number of calls with an outcome.
func (s *Series) Outcome(o types.Outcome) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.outcomes[o]
}

// Errors returns the number of error answers of the targets themselves.
func (s *Series) Errors() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.errors
}

// Aborted returns the number of calls that the end of the run cut off.
func (s *Series) Aborted() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.aborted
}

// Describe returns the reasons of failures with their numbers, for messages.
func (s *Series) Describe() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprint(s.reasons)
}

// Crossed returns the number of answers that belonged to another call.
func (s *Series) Crossed() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crossed
}

// Cut returns the number of incomplete answers that ended as if whole.
func (s *Series) Cut() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cut
}

// Worth returns the worth of the answers in time and of all calls sent.
func (s *Series) Worth() (answered, offered float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.worth, s.offered
}

// Quantile returns the latency that a share q of the answered calls stayed
// within.
func (s *Series) Quantile(q float64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.hist.ValueAtQuantile(q*100)) * time.Microsecond
}

// Keys returns the idempotency keys sent, and those of calls that were refused
// as not run.
func (s *Series) Keys() (sent, refused []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.keys...), append([]string(nil), s.refused...)
}

// Requests returns the request ids that answers told, and those of calls that
// were refused as not run.
func (s *Series) Requests() (sent, refused []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.ids...), append([]string(nil), s.refIDs...)
}

// mergeInto adds the latencies of all calls but those refused as not run to h,
// which has the range of a series. A call that fails at its deadline counts
// with the time it took; without it a policy that loses its slowest calls
// would show a short tail.
func (s *Series) mergeInto(h *hdrhistogram.Histogram) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h.Merge(s.ended)
}
