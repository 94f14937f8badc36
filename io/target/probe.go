package target

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"time"
)

// healthPath is the health endpoint of a target.
const healthPath = "/health"

// probeWait is how long an answer to a probe is awaited.
const probeWait = time.Second

// probe asks the target for its health on a new connection, if the measurement
// budget grants it. The answer's content does not count, only that it came.
func (l *Local) probe() {
	defer l.probing.Store(false)
	if !l.opts.Grant() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), probeWait)
	defer cancel()
	trace, ex := l.stalls.trace()
	addr := l.Announcement().Address
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodGet, "http://"+addr+healthPath, nil)
	if err != nil {
		return
	}
	client := l.client(1)
	defer client.CloseIdleConnections()
	start := l.now()
	resp, err := client.Do(req)
	if err != nil {
		ex.end(false, 0)
		return
	}
	_, err = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	ex.end(err == nil, l.now().Sub(start))
	// Before the connection that proves it is closed.
	l.closeStalled()
}
