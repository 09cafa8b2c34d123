package gateway

import (
	"math"
	"time"

	"anvilcross/kernel/batching"
	"anvilcross/kernel/endpoints"
	"anvilcross/kernel/evacuation"
	"anvilcross/kernel/ident"
)

// Costs by which endpoints are compared, each expressed as a delay in
// milliseconds. The endpoint with the lowest sum is chosen.
const (
	// uncachedTokenCostMillis is the cost of a prompt token that the endpoint has
	// not cached. Endpoints process about 100 tokens per millisecond.
	uncachedTokenCostMillis = 0.01
	// crossByteCostMillis is the cost of a result byte that crosses data
	// centres: 4 ms for a large result of 0.8 MB. Its ratio to
	// uncachedTokenCostMillis is that of the deployments' prices for result
	// bytes that cross and for prompt tokens that are processed again.
	crossByteCostMillis = 4.0 / 800_000
	// runningRequestCostMillis is the cost of each request that runs at a model
	// endpoint: every one slows down the tokens of the others.
	runningRequestCostMillis = 1.0
	// crossTripCostMillis is the cost of an endpoint in another data centre: a
	// round trip takes about 7 ms.
	crossTripCostMillis = 7.0
	// centreAffinityUncachedShare is the share of a shared prompt prefix that is
	// expected to be missing in the cache of the prefix's affinity endpoint
	// within a data centre, if that is not its affinity endpoint overall.
	centreAffinityUncachedShare = 0.9
	// failingCostMillis is the cost of an endpoint that fails every request.
	// The cost grows with the square of the share of failed requests.
	failingCostMillis = 2000.0
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

// affinityEndpoints returns the affinity endpoint of a prompt prefix, where the
// prefix is most likely cached, among all candidates and within each data
// centre. It uses rendezvous hashing with weights by data centre.
func affinityEndpoints(prefix string, candidates []*endpoints.Endpoint, weights map[ident.DataCentre]float64) (*endpoints.Endpoint, map[ident.DataCentre]*endpoints.Endpoint) {
	var best *endpoints.Endpoint
	var bestScore float64
	scoreByCentre := map[ident.DataCentre]float64{}
	bestByCentre := map[ident.DataCentre]*endpoints.Endpoint{}
	for _, e := range candidates {
		// If each candidate's score is a uniform random number raised to the
		// power of 1/weight, each has the highest score with a probability
		// proportional to its weight. The logarithm keeps the order.
		uniform := (float64(ident.HashPair(prefix, string(e.Name))>>11) + 0.5) / (1 << 53)
		score := math.Log(uniform) / max(weights[e.DataCentre], minAffinityWeight)
		if best == nil || score > bestScore {
			best, bestScore = e, score
		}
		if bestByCentre[e.DataCentre] == nil || score > scoreByCentre[e.DataCentre] {
			bestByCentre[e.DataCentre], scoreByCentre[e.DataCentre] = e, score
		}
	}
	return best, bestByCentre
}

// minAffinityWeight is the least weight of a model endpoint, so that those in
// data centres without stage endpoints also receive requests.
const minAffinityWeight = 0.1

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

// chooseEndpoint returns the candidate endpoint with the lowest cost for a
// request, or nil if there is none.
func (g *Gateway) chooseEndpoint(r *request) *endpoints.Endpoint {
	now := g.now()
	candidates := g.withoutBlocked(now, g.directory.Candidates(now, r.service, g.excludedFor(r)))
	candidates = evacuation.Without(candidates, g.evacuations.Draw(now, g.random.Float64), func(e *endpoints.Endpoint) ident.DataCentre { return e.DataCentre })
	if r.route.CarriesPrompts {
		return g.chooseModelEndpoint(now, r, candidates)
	}
	var best *endpoints.Endpoint
	bestCost := math.Inf(1)
	for _, e := range candidates {
		cost := failingCostMillis*e.FailureShare*e.FailureShare + e.LatencyMillis*float64(e.EstimatedInFlight(now))/float64(max(e.Slots, 1)) + e.LatencyMillis/2
		if e.DataCentre != g.config.Self.DataCentre {
			cost += crossTripCostMillis
		}
		if cost < bestCost {
			best, bestCost = e, cost
		}
	}
	return best
}

// chooseModelEndpoint chooses among the endpoints of a route that carries
// prompts. Their cost also counts uncached prompt tokens and result bytes that
// cross data centres, and the latency objective if all slots are taken.
func (g *Gateway) chooseModelEndpoint(now time.Time, r *request, candidates []*endpoints.Endpoint) *endpoints.Endpoint {
	prefix, tokens := r.sharedPrefix()
	affinity, affinityByCentre := affinityEndpoints(prefix, candidates, g.dataCentreWeights(r, candidates))
	bytesByCentre := map[ident.DataCentre]int{}
	totalBytes := 0
	for i := range r.stages {
		s := &r.stages[i]
		if s.hasDependents {
			continue
		}
		for _, h := range s.handles {
			if e := g.directory.ByAddress(batching.EndpointAddress(h)); e != nil {
				bytesByCentre[e.DataCentre] += s.stage.ResultBytes
			}
			totalBytes += s.stage.ResultBytes
		}
	}
	var best *endpoints.Endpoint
	bestCost := math.Inf(1)
	for _, e := range candidates {
		uncachedShare := 1.0
		switch e {
		case affinity:
			uncachedShare = 0
		case affinityByCentre[e.DataCentre]:
			uncachedShare = centreAffinityUncachedShare
		}
		cost := uncachedShare*float64(tokens)*uncachedTokenCostMillis + float64(totalBytes-bytesByCentre[e.DataCentre])*crossByteCostMillis
		cost += runningRequestCostMillis*float64(e.EstimatedInFlight(now)) + failingCostMillis*e.FailureShare*e.FailureShare
		if e.EstimatedInFlight(now) >= max(e.Slots, 1) {
			cost += float64(r.route.LatencyObjective / time.Millisecond)
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
