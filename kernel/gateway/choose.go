package gateway

import (
	"anvilcross/kernel/endpoints"
	"anvilcross/kernel/evacuation"
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

// promptTokens returns the number of tokens of the request's prompt.
func (r *request) promptTokens() int {
	tokens := 0
	for _, part := range r.incoming.Prompt {
		tokens += part.Tokens
	}
	return max(tokens, r.incoming.PromptTokens)
}

// promptOf returns what the placement of a request depends on.
func (g *Gateway) promptOf(r *request, candidates []*endpoints.Endpoint) placement.Prompt {
	prefix, tokens := r.sharedPrefix()
	p := placement.Prompt{Service: r.service, Prefix: prefix, PrefixTokens: tokens, Tokens: r.promptTokens(), OutputTokens: r.incoming.OutputTokens, From: g.config.Self.DataCentre, InputBytes: map[ident.DataCentre]int{}, Weights: placement.AffinityWeights(g.directory, r.route, candidates), Objective: r.route.LatencyObjective, GapObjective: r.route.GapObjective}
	p.ExtraMillis = func(e *endpoints.Endpoint) float64 { return g.coldCostMillis(r, e) }
	if !r.firstEventSent && !r.takesUp() {
		p.Left = r.dueAt.Sub(g.now())
	}
	for _, s := range r.stages {
		for _, h := range s.Handles {
			if s.HasDependents {
				break
			}
			centre := ident.DataCentre("")
			if e := g.directory.ByAddress(h.Address()); e != nil {
				centre = e.DataCentre
			}
			p.InputBytes[centre] += s.Spec.ResultBytes
		}
	}
	return p
}

// estimates reports whether the endpoint of a request is chosen by estimate.
func (g *Gateway) estimates(r *request) bool {
	long := r.route.CarriesPrompts && placement.IsLong(r.promptTokens())
	return g.placement.Applies(g.catalog, long, g.directory.ByService(r.service))
}

// chooseEndpoint returns the candidate endpoint with the lowest cost for a
// request, or nil if there is none.
func (g *Gateway) chooseEndpoint(r *request) *endpoints.Endpoint {
	now := g.now()
	candidates := g.withoutBlocked(now, g.directory.Candidates(now, r.service, g.excludedFor(r)))
	candidates = evacuation.Without(candidates, g.evacuations.Draw(now, g.random.Float64), func(e *endpoints.Endpoint) ident.DataCentre { return e.DataCentre })
	coldMillis := func(e *endpoints.Endpoint) float64 { return g.coldCostMillis(r, e) }
	named := r.placed
	r.choice, r.placed = placement.Choice{}, ident.EndpointProcess{}
	switch {
	case r.route.CarriesPrompts && g.estimates(r):
		r.choice = g.placement.ChooseModel(now, g.catalog, g.promptOf(r, candidates), candidates, named)
		return r.choice.Endpoint
	case r.route.CarriesPrompts:
		return placement.UsualModelChoice(now, g.promptOf(r, candidates), candidates)
	case g.estimates(r):
		return g.placement.ChoosePlain(now, g.config.Self.DataCentre, r.dueAt.Sub(now), candidates, coldMillis)
	}
	return placement.UsualPlainChoice(now, g.config.Self.DataCentre, candidates, coldMillis)
}
