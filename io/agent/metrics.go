package agent

import (
	"strconv"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"golang.org/x/time/rate"

	"trefoilthread/io/httpw"
)

// metrics holds the metrics of an agent and the rate limit of its routine log lines.
type metrics struct {
	scope         tally.Scope
	latency       tally.Histogram // of callers' requests
	targetLatency tally.Histogram // of calls at the target on this VM
	hold          tally.Histogram // of responses that waited for earlier ones of their connection
	linkBusy      tally.Gauge     // link time of the bodies under way to this VM
	routine       *rate.Limiter   // limits log lines about successful requests and calls

	mu      sync.Mutex
	leftOut map[string]int // routine requests without a log line, by route, since the route's last one
}

// routineLinesPerSecond limits the log lines about requests and calls that went as
// expected, so that they do not use up the log rate needed for failures.
const routineLinesPerSecond = 40

// mayLogRoutine reports whether a routine line may be logged now. It counts the lines
// that may not.
func (m *metrics) mayLogRoutine(now time.Time) bool {
	if m.routine.AllowN(now, 1) {
		return true
	}
	m.countEvent("routine_lines_left_out")
	return false
}

// mayLogRequest is mayLogRoutine for a routine request of a route. With the line, it returns
// how many others of the route were left out before, so that readers of the log can count them.
func (m *metrics) mayLogRequest(now time.Time, route string) (leftOut int, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.mayLogRoutine(now) {
		m.leftOut[route]++
		return 0, false
	}
	leftOut = m.leftOut[route]
	delete(m.leftOut, route)
	return leftOut, true
}

// latencyBuckets covers the range of callers' deadlines.
var latencyBuckets = tally.DurationBuckets{
	time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond,
	20 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond,
	400 * time.Millisecond, 800 * time.Millisecond, 1600 * time.Millisecond, 3200 * time.Millisecond,
}

func newMetrics(scope tally.Scope) *metrics {
	return &metrics{
		scope:         scope,
		latency:       scope.Histogram("request_latency", latencyBuckets),
		targetLatency: scope.Histogram("target_latency", latencyBuckets),
		hold:          scope.Histogram("response_hold", latencyBuckets),
		linkBusy:      scope.Gauge("link_busy_ms"),
		routine:       rate.NewLimiter(routineLinesPerSecond, routineLinesPerSecond),
		leftOut:       map[string]int{},
	}
}

// recordResponse counts a response to a caller and records its latency.
func (m *metrics) recordResponse(status int, took time.Duration) {
	m.scope.Tagged(map[string]string{"status": strconv.Itoa(status)}).Counter("requests").Inc(1)
	m.latency.RecordDuration(took)
}

// recordCall counts a call at the target on this VM and records its latency.
func (m *metrics) recordCall(result string, took time.Duration) {
	m.scope.Tagged(map[string]string{"result": result}).Counter("calls").Inc(1)
	m.targetLatency.RecordDuration(took)
}

// countBroken adds one to the counter with a name of messages that broke off, by the part in
// which err did it.
func (m *metrics) countBroken(name string, err error) {
	part, _ := httpw.Progress(err)
	m.scope.Tagged(map[string]string{"part": part.String()}).Counter(name).Inc(1)
}

// setLinkBusy records the link time of the bodies under way to this VM.
func (m *metrics) setLinkBusy(d time.Duration) {
	m.linkBusy.Update(float64(d) / float64(time.Millisecond))
}

// countEvent adds one to the counter with a name.
func (m *metrics) countEvent(name string) { m.scope.Counter(name).Inc(1) }

func itoa(n int64) string { return strconv.FormatInt(n, 10) }
