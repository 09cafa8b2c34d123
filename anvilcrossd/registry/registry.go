// Package registry sets up the metrics of a daemon: one scope, reported in the
// Prometheus format.
package registry

import (
	"io"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// ReportPeriod is how often counters go to the reporter.
const ReportPeriod = time.Second

// Registry is the home of a daemon's metrics. Closing the Closer ends the
// reporting.
type Registry struct {
	io.Closer
	Scope    tally.Scope
	Reporter prometheus.Reporter
}

// NewRegistry returns a registry whose metrics begin with the project's name.
func NewRegistry() Registry {
	reporter := prometheus.NewReporter(prometheus.Options{})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 "anvilcross",
		CachedReporter:         reporter,
		Separator:              prometheus.DefaultSeparator,
		SanitizeOptions:        &prometheus.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, ReportPeriod)
	return Registry{Closer: closer, Scope: scope, Reporter: reporter}
}
