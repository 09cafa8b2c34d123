// Package metrics sets up the metrics of a daemon: one root scope, exported in
// the Prometheus format.
package metrics

import (
	"io"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// ReportPeriod is the interval at which the scope passes its values to the
// reporter.
const ReportPeriod = time.Second

// Registry holds a daemon's metrics. Close stops the reporting.
type Registry struct {
	io.Closer
	Scope    tally.Scope
	Reporter prometheus.Reporter
}

// NewRegistry returns a registry whose metric names begin with anvilcross.
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
