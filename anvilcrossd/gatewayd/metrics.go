package gatewayd

import (
	"log"
	"net/http"
	"strings"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"

	"anvilcross/anvilcrossd/callermemory"
	"anvilcross/anvilcrossd/eventlog"
	"anvilcross/anvilcrossd/metrics"
	"anvilcross/kernel/admission"
	"anvilcross/kernel/gateway"
	"anvilcross/kernel/ident"
)

// metricsConfig sets up gatewayMetrics.
type metricsConfig struct {
	// CollectGauges sets the gauges; it is called before each scrape.
	CollectGauges func(tally.Scope)
}

// gatewayMetrics counts finished requests and reports the gateway's totals.
type gatewayMetrics struct {
	config   metricsConfig
	scope    tally.Scope
	reporter prometheus.Reporter
	// speedRatios holds the gauges of the endpoints that differ from the median of their service.
	speedRatios map[ident.Endpoint]tally.Gauge
}

// latencyBuckets are the bounds of the latency histograms: 1 ms doubled up to
// about 33 s.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 16)

func newGatewayMetrics(c metricsConfig) *gatewayMetrics {
	r := metrics.NewRegistry()
	return &gatewayMetrics{config: c, scope: r.Scope, reporter: r.Reporter, speedRatios: map[ident.Endpoint]tally.Gauge{}}
}

// recordRequest counts a finished request and its latency by outcome.
func (m *gatewayMetrics) recordRequest(outcome string, took time.Duration) {
	scope := m.scope.Tagged(map[string]string{"outcome": outcome})
	scope.Counter("requests").Inc(1)
	scope.Histogram("latency", latencyBuckets).RecordDuration(took)
}

// estimateBuckets are the bounds of the ratio of the actual to the estimated time to the first event.
var estimateBuckets = tally.ValueBuckets{0.25, 0.5, 0.7, 0.85, 1, 1.2, 1.5, 2, 4, 8}

// recordEstimate records how the time to the first event of a request compares with its estimate.
func (m *gatewayMetrics) recordEstimate(s ident.Service, expected, took time.Duration) {
	if expected > 0 {
		m.scope.Tagged(map[string]string{"service": string(s)}).Histogram("estimate_ratio", estimateBuckets).RecordValue(float64(took) / float64(expected))
	}
}

// updateSpeedRatios sets the gauges of the endpoints that are slower or faster than the median of
// their service. It sets those that no longer are to 1.
func (m *gatewayMetrics) updateSpeedRatios(ratios map[ident.Endpoint]float64) {
	for e := range m.speedRatios {
		if _, differs := ratios[e]; !differs {
			m.speedRatios[e].Update(1)
			delete(m.speedRatios, e)
		}
	}
	for e, ratio := range ratios {
		m.speedRatios[e] = m.scope.Tagged(map[string]string{"endpoint": string(e)}).Gauge("endpoint_speed_ratio")
		m.speedRatios[e].Update(ratio)
	}
}

// handler serves the metrics in the Prometheus format.
func (m *gatewayMetrics) handler() http.Handler {
	next := m.reporter.HTTPHandler()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		m.config.CollectGauges(m.scope)
		next.ServeHTTP(w, r)
	})
}

// collectGauges sets the gauges from the totals of the gateway and its
// adapters.
func (d *daemon) collectGauges(scope tally.Scope) {
	gauges := map[string]float64{}
	var admissions map[ident.Service]admission.Counts
	d.withGateway(func(g *gateway.Gateway) {
		c, b := g.Counters(), g.BatchStats()
		gauges["in_flight"] = float64(g.InFlight())
		gauges["members"] = float64(g.AliveCount())
		gauges["platform_revision"] = float64(g.AsOf().Number())
		gauges["platform_era"] = float64(g.AsOf().Era())
		gauges["platform_records"] = float64(g.RecordCount())
		gauges["arrived"] = float64(c.Arrived)
		gauges["relayed"] = float64(c.Relayed)
		gauges["retried"] = float64(c.Retried)
		gauges["resumed"] = float64(c.Resumed)
		gauges["refused"] = float64(c.Refused)
		gauges["timed_out"] = float64(c.TimedOut)
		gauges["may_have_run"] = float64(c.MayHaveRun)
		gauges["callers_left"] = float64(c.CallersLeft)
		gauges["pieces_resubmitted"] = float64(c.PiecesResubmitted)
		gauges["pieces_moved"] = float64(c.PiecesMoved)
		gauges["pieces_redirected"] = float64(c.PiecesRedirected)
		gauges["messages_rejected"] = float64(c.MessagesRejected)
		gauges["inputs_remade"] = float64(c.Recomputes)
		gauges["records_rejected"] = float64(c.RecordsRejected)
		gauges["permits_issued"] = float64(c.PermitsIssued)
		gauges["permits_denied"] = float64(c.PermitsDenied)
		gauges["permits_timed_out"] = float64(c.PermitsTimedOut)
		gauges["cold_permits_issued"] = float64(c.ColdPermitsIssued)
		gauges["cold_permits_denied"] = float64(c.ColdPermitsDenied)
		gauges["health_queries"] = float64(c.HealthQueries)
		cold, suspected := g.ColdCounts()
		gauges["endpoints_cold"] = float64(cold)
		gauges["endpoints_cold_suspected"] = float64(suspected)
		gauges["attempts_withheld"] = float64(c.AttemptsWithheld)
		gauges["paths_lost"] = float64(c.PathsLost)
		gauges["forwarded"] = float64(c.Forwarded)
		p := g.Placement().Counters()
		gauges["placements_made"] = float64(p.Made)
		gauges["placements_named"] = float64(p.Named)
		gauges["placements_local"] = float64(p.Local)
		gauges["placements_timed_out"] = float64(p.TimedOut)
		d.metrics.updateSpeedRatios(g.Placement().Ratios(time.Now()))
		leaving, resting := g.WithheldCounts()
		gauges["endpoints_leaving"] = float64(leaving)
		gauges["endpoints_resting"] = float64(resting)
		evacuated, running := g.EvacuationCounts()
		gauges["evacuated_data_centres"] = float64(evacuated)
		gauges["evacuated_running"] = float64(running)
		gauges["stage_calls"] = float64(b.Calls)
		gauges["stage_pieces"] = float64(b.Pieces)
		gauges["stage_calls_declined"] = float64(b.Declined)
		gauges["stage_calls_broken"] = float64(b.Broken)
		gauges["stage_calls_overdue"] = float64(b.Overdue)
		gauges["stage_pieces_no_room"] = float64(b.NoCapacity)
		gauges["stage_pieces_input_gone"] = float64(b.InputGone)
		gauges["stage_pieces_late"] = float64(b.Expired)
		gauges["stage_pieces_refused"] = float64(b.Refused)
		gauges["stage_duplicates"] = float64(b.Duplicates)
		admissions = g.Batcher().AdmissionCounts()
	})
	for service, n := range admissions {
		s := scope.Tagged(map[string]string{"service": string(service)})
		s.Gauge("admission_asked").Update(float64(n.Asked))
		s.Gauge("admission_started").Update(float64(n.Started))
		s.Gauge("admission_held").Update(float64(n.Held))
		s.Gauge("admission_refused").Update(float64(n.Refused))
	}
	gauges["log_lines_dropped"] = float64(d.log.DroppedLines())
	gauges["endpoint_connections_opened"] = float64(d.httpClient.OpenedConnections())
	gauges["endpoint_connections_idle"] = float64(d.httpClient.IdleCount())
	gauges["endpoint_connections_closed_for_room"] = float64(d.httpClient.ClosedForRoom())
	gauges["connections_open"] = float64(d.descriptors.Open())
	gauges["connections_limit"] = float64(d.descriptors.Limit())
	for _, k := range callermemory.Kinds() {
		gauges["caller_memory_"+k.String()+"_bytes"] = float64(d.callerMemory.Used(k) + d.peerMemory.Used(k))
	}
	counts := d.callerMemory.Counts()
	gauges["caller_memory_limit_bytes"] = float64(d.callerMemory.Limit())
	gauges["caller_memory_refused"] = float64(counts.Refused)
	gauges["caller_memory_ended"] = float64(counts.Ended)
	gauges["peer_memory_limit_bytes"] = float64(d.peerMemory.Limit())
	gauges["peer_memory_refused"] = float64(d.peerMemory.Counts().Refused)
	gauges["caller_connections_waiting"] = float64(d.callersWaiting.Waiting())
	gauges["caller_connections_waiting_limit"] = float64(d.maxWaitingCallers())
	gauges["caller_connections_closed_waiting"] = float64(d.callersWaiting.Closed())
	gauges["peer_messages_dropped"] = float64(d.mesh.DroppedMessages())
	gauges["peer_bytes_sent"] = float64(d.mesh.SentBytes())
	for name, v := range gauges {
		scope.Gauge(name).Update(v)
	}
}

// errorLogWriter writes net/http's error messages to the event log.
type errorLogWriter struct{ log *eventlog.Log }

func newErrorLog(l *eventlog.Log) *log.Logger { return log.New(errorLogWriter{log: l}, "", 0) }

func (e errorLogWriter) Write(p []byte) (int, error) {
	e.log.WriteEvent("connectionError", "reason", strings.TrimSpace(string(p)))
	return len(p), nil
}
