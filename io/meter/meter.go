package meter

import (
	"io"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/uber-go/tally/v4"
	promreporter "github.com/uber-go/tally/v4/prometheus"
)

// interval is how often tally hands its counts to the scrape registry. It
// bounds the age of a scraped value and costs little next to a scrape.
const interval = time.Second

// Meter owns the metrics of one daemon.
type Meter struct {
	scope   tally.Scope
	closer  io.Closer
	handler http.Handler
}

// New returns a meter with a registry of its own, so that several daemons in
// one process keep their metrics apart.
func New() *Meter {
	reg := prometheus.NewRegistry()
	rep := promreporter.NewReporter(promreporter.Options{
		Registerer:       reg,
		Gatherer:         reg,
		DefaultTimerType: promreporter.HistogramTimerType,
		OnRegisterError:  func(error) {},
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 "trefoilthread",
		Separator:              promreporter.DefaultSeparator,
		CachedReporter:         rep,
		OmitCardinalityMetrics: true,
	}, interval)
	return &Meter{
		scope:   scope,
		closer:  closer,
		handler: promhttp.HandlerFor(reg, promhttp.HandlerOpts{}),
	}
}

// Scope returns the root scope.
func (m *Meter) Scope() tally.Scope { return m.scope }

// Handler serves the metrics to a scraper.
func (m *Meter) Handler() http.Handler { return m.handler }

// Close reports the last counts and stops the meter.
func (m *Meter) Close() error { return m.closer.Close() }
