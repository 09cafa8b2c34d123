package placement

import (
	"math"
	"time"

	"anvilcross/kernel/endpoints"
	"anvilcross/kernel/ident"
	"anvilcross/kernel/published"
)

// Costs by which endpoints are compared where the estimate does not apply, each expressed as a
// delay in milliseconds. The endpoint with the lowest sum is chosen.
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
	// minAffinityWeight is the least weight of a model endpoint, so that those in
	// data centres without stage endpoints also receive requests.
	minAffinityWeight = 0.1
)

// Prompt is what the placement of a request with a prompt depends on.
type Prompt struct {
	Service ident.Service `json:"service"`
	// Prefix identifies the part of the prompt that other requests may share, and
	// PrefixTokens is its length.
	Prefix       string `json:"prefix,omitempty"`
	PrefixTokens int    `json:"prefixTokens,omitempty"`
	// Tokens is the length of the whole prompt, and OutputTokens the expected one of the
	// answer.
	Tokens       int `json:"tokens"`
	OutputTokens int `json:"output,omitempty"`
	// From is the data centre of the instance that sends the request.
	From ident.DataCentre `json:"from"`
	// InputBytes is the size of the results that the endpoint fetches, by data centre.
	InputBytes map[ident.DataCentre]int `json:"inputs,omitempty"`
	// Weights are the affinity weights of data centres.
	Weights map[ident.DataCentre]float64 `json:"weights,omitempty"`
	// Objective is the latency objective, Left the time left of it, and GapObjective the gap
	// objective; zero for none.
	Objective    time.Duration `json:"objective,omitempty"`
	Left         time.Duration `json:"left,omitempty"`
	GapObjective time.Duration `json:"gap,omitempty"`
	// ExtraMillis returns what else an endpoint costs this instance; nil for nothing.
	ExtraMillis ExtraMillis `json:"-"`
}

// ExtraMillis returns a cost of an endpoint in milliseconds that this package does not know.
type ExtraMillis func(*endpoints.Endpoint) float64

func (f ExtraMillis) of(e *endpoints.Endpoint) float64 {
	if f == nil {
		return 0
	}
	return f(e)
}

// AffinityEndpoints returns the affinity endpoint of a prompt prefix, where the
// prefix is most likely cached, among all candidates and within each data
// centre. It uses rendezvous hashing with weights by data centre.
func AffinityEndpoints(prefix string, candidates []*endpoints.Endpoint, weights map[ident.DataCentre]float64) (*endpoints.Endpoint, map[ident.DataCentre]*endpoints.Endpoint) {
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

// AffinityWeights returns the number of stage endpoints per model endpoint in
// each data centre. As affinity weights, they place prompts where the results
// that they need are computed.
func AffinityWeights(d *endpoints.Directory, r *published.Route, candidates []*endpoints.Endpoint) map[ident.DataCentre]float64 {
	weights := map[ident.DataCentre]float64{}
	modelCounts := map[ident.DataCentre]float64{}
	for _, e := range candidates {
		modelCounts[e.DataCentre]++
	}
	for _, s := range r.Stages {
		for _, e := range d.ByService(s.Service) {
			if modelCounts[e.DataCentre] > 0 {
				weights[e.DataCentre] += 1 / modelCounts[e.DataCentre]
			}
		}
	}
	return weights
}

// uncachedPrefix returns a function for the number of tokens of a prompt's prefix that an
// endpoint has probably not cached.
func uncachedPrefix(p Prompt, candidates []*endpoints.Endpoint) func(*endpoints.Endpoint) float64 {
	affinity, affinityByCentre := AffinityEndpoints(p.Prefix, candidates, p.Weights)
	return func(e *endpoints.Endpoint) float64 {
		share := 1.0
		switch e {
		case affinity:
			share = 0
		case affinityByCentre[e.DataCentre]:
			share = centreAffinityUncachedShare
		}
		return share * float64(p.PrefixTokens)
	}
}

// transferMillis returns how long it takes to move a prompt's inputs to a data centre.
func transferMillis(p Prompt, to ident.DataCentre) float64 {
	bytes := 0
	for centre, n := range p.InputBytes {
		if centre != to {
			bytes += n
		}
	}
	return float64(bytes) * crossByteCostMillis
}

// tripMillis returns how much longer a network trip to an endpoint takes than in the own data
// centre.
func tripMillis(from ident.DataCentre, e *endpoints.Endpoint) float64 {
	if e.DataCentre == from {
		return 0
	}
	return crossTripCostMillis
}

func failingMillis(e *endpoints.Endpoint) float64 {
	return failingCostMillis * e.FailureShare * e.FailureShare
}

// UsualModelChoice returns the candidate with the lowest cost for a request with a prompt where
// the estimate does not apply, or nil if there is none. Its cost counts uncached prompt tokens,
// result bytes that cross data centres, and the latency objective if all slots are taken.
func UsualModelChoice(now time.Time, p Prompt, candidates []*endpoints.Endpoint) *endpoints.Endpoint {
	uncached := uncachedPrefix(p, candidates)
	return lowestCost(candidates, func(e *endpoints.Endpoint) float64 {
		cost := uncached(e)*uncachedTokenCostMillis + transferMillis(p, e.DataCentre)
		cost += runningRequestCostMillis*float64(e.EstimatedInFlight(now)) + failingMillis(e)
		if e.EstimatedInFlight(now) >= max(e.Slots, 1) {
			cost += float64(p.Objective / time.Millisecond)
		}
		return cost + tripMillis(p.From, e) + p.ExtraMillis.of(e)
	})
}

// UsualPlainChoice is the same for requests without a prompt.
func UsualPlainChoice(now time.Time, from ident.DataCentre, candidates []*endpoints.Endpoint, extra ExtraMillis) *endpoints.Endpoint {
	return lowestCost(candidates, func(e *endpoints.Endpoint) float64 {
		return failingMillis(e) + e.LatencyMillis*float64(e.EstimatedInFlight(now))/float64(max(e.Slots, 1)) + e.LatencyMillis/2 + tripMillis(from, e) + extra.of(e)
	})
}

func lowestCost(candidates []*endpoints.Endpoint, cost func(*endpoints.Endpoint) float64) *endpoints.Endpoint {
	var best *endpoints.Endpoint
	bestCost := math.Inf(1)
	for _, e := range candidates {
		if c := cost(e); c < bestCost {
			best, bestCost = e, c
		}
	}
	return best
}
