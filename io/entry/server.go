package entry

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"
	"github.com/uber-go/tally/v4"

	"trefoilthread/core/types"
	"trefoilthread/io/ring"
	"trefoilthread/io/target"
	"trefoilthread/io/wire"
)

const (
	maxHeaderBytes = 64 << 10
	headerTimeout  = 5 * time.Second
)

// ServerOptions configure a Server.
type ServerOptions struct {
	// Classify returns what the configuration says of a call, or false if there
	// is no such service.
	Classify func(service types.ServiceName, method, path string) (Rule, bool)
	// Ready reports whether this daemon has a configuration. Until then it must
	// not say that a service does not exist.
	Ready func() bool
	// Do runs a call and returns its answer, or a *types.Failure.
	Do    func(ctx context.Context, head *wire.CallHead, body *Body) (*wire.Answer, error)
	Scope tally.Scope
	Log   log.Interface
}

// Server takes the requests of callers.
type Server struct {
	opts ServerOptions
}

// NewServer returns a server of callers' requests.
func NewServer(o ServerOptions) *Server { return &Server{opts: o} }

// Handler returns the handler of all callers' requests.
func (s *Server) Handler() http.Handler {
	r := mux.NewRouter().SkipClean(true).UseEncodedPath()
	r.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusNoContent)
	})
	r.PathPrefix("/").HandlerFunc(s.serve)
	return r
}

// HTTPServer returns an http.Server that serves HTTP/1.1 and HTTP/2 with
// bounded headers.
func (s *Server) HTTPServer() *http.Server {
	p := &http.Protocols{}
	p.SetHTTP1(true)
	p.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           s.Handler(),
		MaxHeaderBytes:    maxHeaderBytes,
		ReadHeaderTimeout: headerTimeout,
		Protocols:         p,
	}
}

// split returns the service a request is for and the path the target sees.
func split(r *http.Request) (service, path string) {
	path = r.URL.RequestURI()
	if name := r.Header.Get(HeaderService); name != "" {
		return name, path
	}
	rest, ok := strings.CutPrefix(path, "/s/")
	if !ok {
		return "", path
	}
	i := strings.IndexAny(rest, "/?")
	if i < 0 {
		return rest, "/"
	}
	if rest[i] == '?' {
		return rest[:i], "/" + rest[i:]
	}
	return rest[:i], rest[i:]
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	service, path := split(r)
	key := r.Header.Get(HeaderKey)
	outcome := types.BadRequest
	defer func() {
		s.count(service, outcome, time.Since(start))
	}()
	fail := func(o types.Outcome, reason, id string) {
		outcome = o
		writeFailure(w, types.NewFailure(o, reason), service, key, id)
	}

	if !s.opts.Ready() {
		fail(types.NotRun, "no configuration received yet", "")
		return
	}
	rule, ok := s.opts.Classify(types.ServiceName(service), r.Method, pathOnly(path))
	if !ok {
		service = ""
		fail(types.NoSuchService, "no such service in the configuration; use /s/<service>/ or the header "+HeaderService, "")
		return
	}
	if rule.MaxBody > 0 && r.ContentLength > rule.MaxBody {
		fail(types.BadRequest, "request body is larger than the service allows", "")
		return
	}
	src := io.Reader(r.Body)
	if rule.MaxBody > 0 {
		src = http.MaxBytesReader(w, r.Body, rule.MaxBody)
	}
	body, err := ReadBody(src)
	if err != nil {
		fail(types.BadRequest, err.Error(), "")
		return
	}
	head, err := newHead(r, service, path, rule, body)
	if err != nil {
		fail(types.BadRequest, err.Error(), "")
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(head.Timeout)*time.Microsecond)
	defer cancel()
	ans, err := s.opts.Do(ctx, head, body)
	if err != nil {
		f := failureOf(ctx, err)
		s.opts.Log.WithFields(log.Fields{
			"request": head.ID, "service": service, "outcome": f.Outcome().String(), "reason": f.Reason(),
		}).Debug("call failed")
		fail(f.Outcome(), f.Reason(), head.ID)
		return
	}
	// The outcome stands if the answer breaks off and answer panics.
	outcome = types.Unknown
	outcome = s.answer(w, head.ID, ans)
}

// pathOnly returns the path without its query.
func pathOnly(path string) string {
	p, _, _ := strings.Cut(path, "?")
	return p
}

// failureOf returns the typed failure in err. An error without a type leaves
// the outcome unknown.
func failureOf(ctx context.Context, err error) *types.Failure {
	var f *types.Failure
	if errors.As(err, &f) {
		return f
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return types.NewFailure(types.DeadlineExceeded, "deadline passed; the call may have run")
	}
	return types.NewFailure(types.Unknown, err.Error())
}

// answer passes the answer on. An answer that breaks off resets the caller's
// connection, so that it cannot be taken for a whole one.
func (s *Server) answer(w http.ResponseWriter, id string, ans *wire.Answer) types.Outcome {
	defer func() {
		_ = ans.Body.Close()
	}()
	h := w.Header()
	for k, v := range ans.Head.Header {
		h[k] = v
	}
	target.StripHopHeaders(h)
	h.Set(HeaderOutcome, types.Done.String())
	h.Set(HeaderRequest, id)
	w.WriteHeader(ans.Head.Status)
	rc := http.NewResponseController(w)
	pooled := ring.Buffer()
	defer ring.Free(pooled)
	buf := *pooled
	for {
		n, err := ans.Body.Read(buf)
		if n > 0 {
			if _, werr := w.Write(buf[:n]); werr != nil {
				return types.Canceled
			}
		}
		if errors.Is(err, io.EOF) {
			return types.Done
		}
		if err != nil {
			s.opts.Log.WithField("request", id).WithError(err).Debug("answer broke off")
			panic(http.ErrAbortHandler)
		}
		if ans.Head.Length < 0 {
			if err := rc.Flush(); err != nil {
				return types.Canceled
			}
		}
	}
}

func (s *Server) count(service string, o types.Outcome, d time.Duration) {
	sc := s.opts.Scope.Tagged(map[string]string{"service": service, "outcome": o.String()})
	sc.Counter("calls").Inc(1)
	sc.Timer("call_seconds").Record(d)
}
