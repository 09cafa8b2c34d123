package gateway

import (
	"math"
	"time"

	"anvilcross/kernel/batching"
	"anvilcross/kernel/endpoints"
	"anvilcross/kernel/ident"
)

// Weights of the choice of an endpoint, in milliseconds of delay that the
// alternative is taken to be worth.
const (
	// unreadTokenCostMillis is the cost of a prompt token that has to be read: endpoints
	// read about 100 tokens in a millisecond.
	unreadTokenCostMillis = 0.01
	// crossByteCostMillis is the cost of a result byte that crosses data centres:
	// 4 ms for a large result of 0.8 MB, by the ratio of the deployments'
	// prices for results that cross and for tokens that are read again.
	crossByteCostMillis = 4.0 / 800_000
	// runningRequestCostMillis is the cost of each request that runs at a model endpoint:
	// it slows every token of the others.
	runningRequestCostMillis = 1.0
	// crossTripCostMillis is the cost of a request that crosses data centres: a round
	// trip of about 7 ms.
	crossTripCostMillis = 7.0
	// centreAffinityUnreadShare is the share of a shared prompt part that is expected
	// to be missing at a data centre's own home of the part.
	centreAffinityUnreadShare = 0.9
	// failingCostMillis is the cost of an endpoint that fails every request.
	failingCostMillis = 2000.0
)

// sharedPrefix returns the deepest part of the prompt that other requests
// share, with the tokens up to its end. The last part is the request's own.
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

// affinityEndpoints returns the endpoint that is the home of a prompt part, and the homes
// within each data centre, by rendezvous hashing with weights.
func affinityEndpoints(part string, candidates []*endpoints.Endpoint, weights map[ident.DataCentre]float64) (*endpoints.Endpoint, map[ident.DataCentre]*endpoints.Endpoint) {
	var home *endpoints.Endpoint
	var homeScore float64
	scores := map[ident.DataCentre]float64{}
	centres := map[ident.DataCentre]*endpoints.Endpoint{}
	for _, e := range candidates {
		// A uniform number to the power of 1/weight wins in proportion to the
		// weight; the logarithm keeps the order.
		uniform := (float64(ident.Score(part, string(e.Name))>>11) + 0.5) / (1 << 53)
		score := math.Log(uniform) / max(weights[e.DataCentre], minAffinityWeight)
		if home == nil || score > homeScore {
			home, homeScore = e, score
		}
		if centres[e.DataCentre] == nil || score > scores[e.DataCentre] {
			centres[e.DataCentre], scores[e.DataCentre] = e, score
		}
	}
	return home, centres
}

// minAffinityWeight keeps endpoints in data centres without stage endpoints in use.
const minAffinityWeight = 0.1

// dataCentreWeights returns the stage endpoints for each model endpoint, by data
// centre: prompts find their homes where the results that they need are made.
func (g *Gateway) dataCentreWeights(r *request, candidates []*endpoints.Endpoint) map[ident.DataCentre]float64 {
	weights := map[ident.DataCentre]float64{}
	models := map[ident.DataCentre]float64{}
	for _, e := range candidates {
		models[e.DataCentre]++
	}
	for _, s := range r.route.Stages {
		for _, e := range g.directory.Listed(s.Service) {
			if models[e.DataCentre] > 0 {
				weights[e.DataCentre] += 1 / models[e.DataCentre]
			}
		}
	}
	return weights
}

// chooseStageDataCentre returns the data centre where a request's results are best made.
func (g *Gateway) chooseStageDataCentre(r *request) ident.DataCentre {
	if !r.route.Engine {
		return ""
	}
	part, _ := r.sharedPrefix()
	candidates := g.directory.Candidates(g.now(), r.service, nil)
	home, _ := affinityEndpoints(part, candidates, g.dataCentreWeights(r, candidates))
	if home == nil {
		return ""
	}
	return home.DataCentre
}

// chooseEndpoint returns the endpoint for a request, or nil if none can take it.
func (g *Gateway) chooseEndpoint(r *request) *endpoints.Endpoint {
	now := g.now()
	candidates := g.directory.Candidates(now, r.service, r.excluded)
	if r.route.Engine {
		return g.chooseModelEndpoint(now, r, candidates)
	}
	var best *endpoints.Endpoint
	bestCost := math.Inf(1)
	for _, e := range candidates {
		cost := failingCostMillis*e.Failing*e.Failing + e.Millis*float64(e.Busy(now))/float64(max(e.Slots, 1)) + e.Millis/2
		if e.DataCentre != g.config.Self.DataCentre {
			cost += crossTripCostMillis
		}
		if cost < bestCost {
			best, bestCost = e, cost
		}
	}
	return best
}

func (g *Gateway) chooseModelEndpoint(now time.Time, r *request, candidates []*endpoints.Endpoint) *endpoints.Endpoint {
	part, tokens := r.sharedPrefix()
	home, centres := affinityEndpoints(part, candidates, g.dataCentreWeights(r, candidates))
	resultBytes := map[ident.DataCentre]int{}
	total := 0
	for i := range r.stages {
		s := &r.stages[i]
		if s.hasDependents {
			continue
		}
		for _, h := range s.handles {
			if e := g.directory.At(batching.Address(h)); e != nil {
				resultBytes[e.DataCentre] += s.stage.ResultBytes
			}
			total += s.stage.ResultBytes
		}
	}
	var best *endpoints.Endpoint
	bestCost := math.Inf(1)
	for _, e := range candidates {
		unread := 1.0
		switch e {
		case home:
			unread = 0
		case centres[e.DataCentre]:
			unread = centreAffinityUnreadShare
		}
		cost := unread*float64(tokens)*unreadTokenCostMillis + float64(total-resultBytes[e.DataCentre])*crossByteCostMillis
		cost += runningRequestCostMillis*float64(e.Busy(now)) + failingCostMillis*e.Failing*e.Failing
		if e.Busy(now) >= max(e.Slots, 1) {
			cost += float64(r.route.Objective / time.Millisecond)
		}
		if e.DataCentre != g.config.Self.DataCentre {
			cost += crossTripCostMillis
		}
		if cost < bestCost {
			best, bestCost = e, cost
		}
	}
	return best
}
