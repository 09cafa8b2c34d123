// Package operator serves the HTTP interface for the operators of an instance:
// health, readiness, metrics, status and error-budget counts.
package operator

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"

	"anvilcross/anvilcrossd/metrics"
	"anvilcross/kernel/burn"
	"anvilcross/kernel/ident"
	"anvilcross/kernel/node"
	"anvilcross/kernel/outcome"
)

const (
	readHeaderTimeout = 5 * time.Second
)

// Config sets up a Server.
type Config struct {
	// WithNode calls a function with the node under its lock. The function must
	// not block.
	WithNode func(func(*node.Node))
	// PeerTransportCounts returns the messages dropped and the bytes sent to
	// peers since the start.
	PeerTransportCounts func() (dropped, sentBytes int64)
}

// Server handles the operators' HTTP requests and holds the metrics.
type Server struct {
	config        Config
	scope         tally.Scope
	reporter      prometheus.Reporter
	closeRegistry func() error
}

// NewServer returns a server with its own metrics registry.
func NewServer(c Config) *Server {
	r := metrics.NewRegistry()
	return &Server{config: c, scope: r.Scope, reporter: r.Reporter, closeRegistry: r.Close}
}

// Close stops the reporting of metrics.
func (s *Server) Close() error { return s.closeRegistry() }

// latencyBuckets are the upper bounds of the latency histograms' buckets.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 1.5, 28)

// RecordRequest records a finished request in the metrics. The latency of the
// first token is recorded if it is positive.
func (s *Server) RecordRequest(p ident.Pipeline, a *outcome.Answer, took, firstToken time.Duration) {
	scope := s.scope.Tagged(map[string]string{"pipeline": string(p), "outcome": string(a.Outcome)})
	scope.Counter("requests").Inc(1)
	if a.Late {
		scope.Counter("late").Inc(1)
	}
	scope.Histogram("latency", latencyBuckets).RecordDuration(took)
	if firstToken > 0 {
		scope.Histogram("first_token", latencyBuckets).RecordDuration(firstToken)
	}
}

// Run exports the kernel's counters every metrics.ReportPeriod until the stop
// channel is closed.
func (s *Server) Run(stop <-chan struct{}) {
	ticker := time.NewTicker(metrics.ReportPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
			s.exportGauges()
		}
	}
}

func (s *Server) exportGauges() {
	status := s.status()
	c := status.Counters
	dropped, sent := s.config.PeerTransportCounts()
	gauges := map[string]int64{
		"revision":            int64(status.Revision),
		"unfinished":          int64(status.UnfinishedRequests),
		"remembered":          int64(status.RememberedRequests),
		"claims_remembered":   int64(status.RememberedClaims),
		"submitted":           c.Submitted,
		"calls":               c.Calls,
		"calls_failed":        c.FailedCalls,
		"retries":             c.Retries,
		"tokens":              c.Tokens,
		"peer_messages":       c.PeerMessages,
		"peer_dropped":        dropped,
		"peer_bytes":          sent,
		"outcomes_whole":      c.Whole,
		"outcomes_late":       c.Late,
		"outcomes_not_run":    c.NotRun,
		"outcomes_lost":       c.Lost,
		"outcomes_refused":    c.Refused,
		"follows":             c.Follows,
		"answers_from_others": c.Adopted,
	}
	for name, value := range gauges {
		s.scope.Gauge(name).Update(float64(value))
	}
}

func (s *Server) status() node.Status {
	var status node.Status
	s.config.WithNode(func(n *node.Node) { status = n.Status() })
	return status
}

// HTTPServer returns an HTTP server with the routes of the interface.
func (s *Server) HTTPServer() *http.Server {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", s.reporter.HTTPHandler())
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	mux.HandleFunc("GET /readyz", s.handleReady)
	mux.HandleFunc("GET /status", s.handleStatus)
	mux.HandleFunc("GET /burn", s.handleBurn)
	return &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout}
}

func (s *Server) handleReady(w http.ResponseWriter, _ *http.Request) {
	ready := false
	s.config.WithNode(func(n *node.Node) { ready = n.Ready() })
	if !ready {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

func (s *Server) handleBurn(w http.ResponseWriter, _ *http.Request) {
	var report burn.Report
	s.config.WithNode(func(n *node.Node) { report = n.BurnReport() })
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(report)
}

func (s *Server) handleStatus(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s.status())
}
