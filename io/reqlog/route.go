package reqlog

import "github.com/HdrHistogram/hdrhistogram-go"

const (
	// maxLatency is the longest latency that is told apart, in milliseconds.
	maxLatency      = 3_600_000
	histogramDigits = 3
)

// Route counts the requests of a route.
type Route struct {
	requests int64
	answered int64
	hedged   int64
	withGoal int64                   // requests whose goal is known
	inGoal   int64                   // those of them that were answered within it
	latency  *hdrhistogram.Histogram // milliseconds, answered requests only; nil without any
}

// add counts a request and those that its line stands for.
func (r *Route) add(q request) {
	n := 1 + int64(q.LeftOut)
	r.requests += n
	if q.Hedged {
		r.hedged += n
	}
	if q.GoalMs > 0 {
		r.withGoal += n
	}
	if q.Status >= 400 || q.TookMs == nil {
		return
	}
	r.answered += n
	if q.GoalMs > 0 && *q.TookMs <= q.GoalMs {
		r.inGoal += n
	}
	if r.latency == nil {
		r.latency = hdrhistogram.New(1, maxLatency, histogramDigits)
	}
	// The value is within the histogram's range, so recording cannot fail.
	_ = r.latency.RecordValues(min(int64(*q.TookMs), maxLatency), n)
}

// Requests returns the number of requests.
func (r *Route) Requests() int64 { return r.requests }

// Answered returns the number of requests that were answered with success: with
// a status below 400.
func (r *Route) Answered() int64 { return r.answered }

// InGoal returns the share of the requests whose goal is known that were
// answered with success within it, and whether there are any.
func (r *Route) InGoal() (share float64, ok bool) { return ratio(r.inGoal, r.withGoal) }

// Hedges returns the number of hedges per request, and whether there are
// requests. A request is hedged once at most.
func (r *Route) Hedges() (perRequest float64, ok bool) { return ratio(r.hedged, r.requests) }

// Quantile returns the latency in milliseconds that a percentage of the
// requests that were answered with success stayed within, and whether there
// are any.
func (r *Route) Quantile(percent float64) (ms int64, ok bool) {
	if r.latency == nil {
		return 0, false
	}
	return r.latency.ValueAtQuantile(percent), true
}

func ratio(n, of int64) (float64, bool) {
	if of == 0 {
		return 0, false
	}
	return float64(n) / float64(of), true
}
