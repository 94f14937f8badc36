package agent

import (
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"
	"golang.org/x/time/rate"
)

// counts are the metrics of an agent.
type counts struct {
	scope   tally.Scope
	latency tally.Histogram // of callers' requests
	targets tally.Histogram // of calls at the target on this VM
	held    tally.Histogram // of responses that waited for earlier ones of their connection
	routine *rate.Limiter   // of log lines about what went as usual
}

// routineLines is the number of lines a second about requests that went as
// usual; those that need explaining must not be left out for them.
const routineLines = 40

// mayLogRoutine reports whether a request that went as usual gets a line. The
// others are counted.
func (c *counts) mayLogRoutine(now time.Time) bool {
	if c.routine.AllowN(now, 1) {
		return true
	}
	c.event("routine_lines_left_out")
	return false
}

// latencyBuckets cover the deadlines of callers.
var latencyBuckets = tally.DurationBuckets{
	time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond,
	20 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond,
	400 * time.Millisecond, 800 * time.Millisecond, 1600 * time.Millisecond, 3200 * time.Millisecond,
}

func newCounts(scope tally.Scope) *counts {
	return &counts{
		scope:   scope,
		latency: scope.Histogram("request_latency", latencyBuckets),
		targets: scope.Histogram("target_latency", latencyBuckets),
		held:    scope.Histogram("response_hold", latencyBuckets),
		routine: rate.NewLimiter(routineLines, routineLines),
	}
}

// answered counts a response to a caller.
func (c *counts) answered(status int, took time.Duration) {
	c.scope.Tagged(map[string]string{"status": strconv.Itoa(status)}).Counter("requests").Inc(1)
	c.latency.RecordDuration(took)
}

// served counts a call at the target on this VM.
func (c *counts) served(result string, took time.Duration) {
	c.scope.Tagged(map[string]string{"result": result}).Counter("calls").Inc(1)
	c.targets.RecordDuration(took)
}

// event counts something else, for example a lost dependency.
func (c *counts) event(name string) { c.scope.Counter(name).Inc(1) }

func itoa(n int64) string { return strconv.FormatInt(n, 10) }
