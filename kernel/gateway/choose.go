package gateway

import (
	"time"

	"anvilcross/kernel/batching"
	"anvilcross/kernel/endpoints"
	"anvilcross/kernel/ident"
	"anvilcross/kernel/placement"
)

// sharedPrefix returns the id of the last prompt part that other requests may
// share, and the number of tokens up to its end. The last of several parts is
// the request's own and is left out.
func (r *request) sharedPrefix() (string, int) {
	tokens := 0
	id := ""
	for i, p := range r.incoming.Prompt {
		if i == len(r.incoming.Prompt)-1 && i > 0 {
			break
		}
		id = p.ID
		tokens += p.Tokens
	}
	return id, tokens
}

// promptTokens returns the length of the request's prompt.
func (r *request) promptTokens() int {
	total := 0
	for _, p := range r.incoming.Prompt {
		total += p.Tokens
	}
	return max(total, r.incoming.PromptTokens)
}

// dataCentreWeights returns the number of stage endpoints per model endpoint in
// each data centre. As affinity weights, they place prompts where the results
// that they need are computed.
func (g *Gateway) dataCentreWeights(r *request, candidates []*endpoints.Endpoint) map[ident.DataCentre]float64 {
	weights := map[ident.DataCentre]float64{}
	modelCounts := map[ident.DataCentre]float64{}
	for _, e := range candidates {
		modelCounts[e.DataCentre]++
	}
	for _, s := range r.route.Stages {
		for _, e := range g.directory.ByService(s.Service) {
			if modelCounts[e.DataCentre] > 0 {
				weights[e.DataCentre] += 1 / modelCounts[e.DataCentre]
			}
		}
	}
	return weights
}

// promptOf returns what the placement of a request depends on.
func (g *Gateway) promptOf(r *request, candidates []*endpoints.Endpoint) placement.Prompt {
	prefix, tokens := r.sharedPrefix()
	p := placement.Prompt{Service: r.service, Prefix: prefix, PrefixTokens: tokens, Tokens: r.promptTokens(), OutputTokens: r.incoming.OutputTokens, From: g.config.Self.DataCentre, InputBytes: map[ident.DataCentre]int{}, Weights: g.dataCentreWeights(r, candidates), Objective: r.route.LatencyObjective, GapObjective: r.route.GapObjective}
	if !r.firstEventSent && !r.takesUp() {
		p.Left = r.dueAt.Sub(g.now())
	}
	for i := range r.stages {
		s := &r.stages[i]
		if s.hasDependents {
			continue
		}
		for _, h := range s.handles {
			centre := ident.DataCentre("")
			if e := g.directory.ByAddress(batching.EndpointAddress(h)); e != nil {
				centre = e.DataCentre
			}
			p.InputBytes[centre] += s.stage.ResultBytes
		}
	}
	return p
}

// chooseEndpoint returns the candidate endpoint with the lowest cost for a
// request, or nil if there is none.
func (g *Gateway) chooseEndpoint(r *request) *endpoints.Endpoint {
	now := g.now()
	candidates := g.withoutBlocked(now, g.directory.Candidates(now, r.service, g.excludedFor(r)))
	estimates := g.placement.Applies(g.catalog, r.route.CarriesPrompts, g.directory.ByService(r.service))
	r.choice = placement.Choice{}
	switch {
	case r.route.CarriesPrompts && estimates:
		r.choice = g.placement.ChooseModel(now, g.catalog, g.promptOf(r, candidates), candidates)
		return r.choice.Endpoint
	case r.route.CarriesPrompts:
		return placement.UsualModelChoice(now, g.promptOf(r, candidates), candidates)
	case estimates:
		return g.placement.ChoosePlain(now, g.config.Self.DataCentre, r.dueAt.Sub(now), candidates)
	}
	return placement.UsualPlainChoice(now, g.config.Self.DataCentre, candidates)
}

// recordFirstEvent records what the time to the first event of an attempt tells about the speed
// of its endpoint.
func (g *Gateway) recordFirstEvent(r *request) {
	if a := r.attempt; a.choice.Endpoint != nil {
		g.placement.RecordFirstEvent(a.firstEventAt, a.choice, a.firstEventAt.Sub(a.startedAt), a.workPercent)
	}
}

// recordRun records how long an attempt ran at its endpoint.
func (g *Gateway) recordRun(now time.Time, a *attempt) {
	if a.choice.Endpoint != nil && !a.firstEventAt.IsZero() {
		g.placement.RecordEnd(a.choice, now.Sub(a.startedAt))
	}
}
