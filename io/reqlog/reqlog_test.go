package reqlog_test

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"

	"trefoilthread/io/reqlog"
)

// ended returns a line about a request with fields in JSON.
func ended(fields string) string {
	return `{"fields":{` + fields + `},"level":"info","timestamp":"2026-12-07T04:00:00Z","message":"request ended"}` + "\n"
}

// Guards against lines that are counted as another kind, or that end the reading.
func TestLinesByKind(t *testing.T) {
	const whole = `"route":"look","status":200,"tookMs":7`
	type lines = reqlog.Lines
	for name, c := range map[string]struct {
		text string
		want lines
	}{
		"empty":           {"", lines{}},
		"request":         {ended(whole), lines{Total: 1, Requests: 1}},
		"without newline": {strings.TrimSpace(ended(whole)), lines{Total: 1, Requests: 1}},
		"prefix":          {"kl-1 | " + ended(whole), lines{Total: 1, Requests: 1, Prefixed: 1}},
		"indented":        {"  " + ended(whole), lines{Total: 1, Requests: 1}},
		"rejected":        {ended(`"status":429,"service":"bookings"`), lines{Total: 1, Requests: 1}},
		"other message":   {`{"fields":{"status":"new","tookMs":[]},"message":"target"}`, lines{Total: 1, Other: 1}},
		"left out":        {`{"fields":{"lines":12},"message":"log lines left out"}`, lines{Total: 1, Other: 1, LeftOut: 12}},
		"logfmt":          {"request ended route=look status=200\n\n", lines{Total: 2, Unreadable: 2}},
		"cut":             {ended(whole)[:60], lines{Total: 1, Unreadable: 1}},
		"no fields":       {`{"message":"request ended"}`, lines{Total: 1, Unreadable: 1}},
		"no time":         {ended(`"route":"look","status":200`), lines{Total: 1, Unreadable: 1}},
		"negative time":   {ended(`"route":"look","status":200,"tookMs":-1`), lines{Total: 1, Unreadable: 1}},
		"status":          {ended(`"route":"look","status":0,"tookMs":7`), lines{Total: 1, Unreadable: 1}},
		"long line":       {"{" + strings.Repeat("x", 1<<20) + "\n" + ended(whole), lines{Total: 2, Requests: 1, Unreadable: 1}},
		"long last line":  {strings.Repeat("x", 512<<10), lines{Total: 1, Unreadable: 1}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := reqlog.New()
			is.NoErr(l.Read(strings.NewReader(c.text)))
			is.Equal(l.Lines(), c.want)
		})
	}
}

// Guards against a log that counts as whole although reading it failed.
func TestReadFails(t *testing.T) {
	is := is.New(t)
	broken := errors.New("broken")
	l := reqlog.New()
	is.Equal(l.Read(io.MultiReader(strings.NewReader(ended("")), iotest.ErrReader(broken))), broken)
}

// Guards against failures among the latencies, against requests without a goal that count as
// late, and against requests left out of the log that count as none.
func TestCountsByRoute(t *testing.T) {
	is := is.New(t)
	var text strings.Builder
	for i := range 1000 {
		fmt.Fprint(&text, ended(fmt.Sprintf(`"route":"look","status":200,"tookMs":%d,"goalMs":900,"hedged":%t`, i+1, i >= 980)))
	}
	text.WriteString(ended(`"route":"look","status":503,"tookMs":9000,"goalMs":900,"hedged":false`))
	text.WriteString(ended(`"route":"pay","status":200,"tookMs":5,"leftOut":2`))
	text.WriteString(ended(`"route":"pay","status":204,"tookMs":4000000000`))
	text.WriteString(ended(`"route":"fail","status":504,"tookMs":5`))
	text.WriteString(ended(`"status":401`))
	l := reqlog.New()
	is.NoErr(l.Read(strings.NewReader(text.String())))
	is.Equal(l.Routes(), []string{"", "fail", "look", "pay"})
	for name, want := range map[string]string{
		"":     "1 requests, 0 answered, goal 0 false, hedges 0.00000 true, quantiles 0 0 0 false",
		"fail": "1 requests, 0 answered, goal 0 false, hedges 0.00000 true, quantiles 0 0 0 false",
		"look": "1001 requests, 1000 answered, goal 0.8991 true, hedges 0.01998 true, quantiles 500 990 999 true",
		"pay":  "4 requests, 4 answered, goal 0 false, hedges 0.00000 true, quantiles 5 3600383 3600383 true",
		"none": "0 requests, 0 answered, goal 0 false, hedges 0.00000 false, quantiles 0 0 0 false",
	} {
		r := l.Route(name)
		goal, hasGoal := r.InGoal()
		hedges, hasRequests := r.Hedges()
		p50, _ := r.Quantile(50)
		p99, _ := r.Quantile(99)
		p999, hasAnswers := r.Quantile(99.9)
		is.Equal(fmt.Sprintf("%d requests, %d answered, goal %.4g %t, hedges %.5f %t, quantiles %d %d %d %t", r.Requests(), r.Answered(),
			goal, hasGoal, hedges, hasRequests, p50, p99, p999, hasAnswers), want)
	}
}
