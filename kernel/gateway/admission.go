package gateway

import (
	"slices"

	"anvilcross/kernel/endpoints"
	"anvilcross/kernel/ident"
	"anvilcross/kernel/published"
)

// AdmissionPolicy sets where requests with stages are admitted.
type AdmissionPolicy string

// The admission policies.
const (
	// AdmissionAuto admits whole requests where model endpoints report how long work takes, and
	// is the default.
	AdmissionAuto AdmissionPolicy = "auto"
	// AdmissionPipeline admits whole requests at their first stage (kernel/admission).
	AdmissionPipeline AdmissionPolicy = "pipeline"
	// AdmissionStage lets each stage decide for itself.
	AdmissionStage AdmissionPolicy = "stage"
)

// pipelineAdmission reports whether whole requests are admitted at their first stage.
func (g *Gateway) pipelineAdmission() bool {
	return g.config.Admission == AdmissionPipeline || g.config.Admission != AdmissionStage && g.unevenEngines
}

// updateUnevenEngines updates whether endpoints of a route with prompts report how long work takes.
func (g *Gateway) updateUnevenEngines() {
	reportsWork := func(e *endpoints.Endpoint) bool { return e.ReportsWork }
	g.unevenEngines = slices.ContainsFunc(g.catalog.Routes, func(r published.Route) bool {
		return r.CarriesPrompts && slices.ContainsFunc(r.Services(), func(s ident.Service) bool {
			return slices.ContainsFunc(g.directory.ByService(s), reportsWork)
		})
	})
}

// callTimeRatio returns how long the calls of a pool take at present, relative to their expected
// time, or zero if its batcher has not reported it.
func (g *Gateway) callTimeRatio(pool ident.Pool) float64 {
	batcher := g.batcherOf(pool)
	if batcher == g.config.Self.Name {
		return g.batcher.CallTimeRatio(pool)
	}
	return g.batcherStatuses[batcher][pool].CallTimeRatio
}
