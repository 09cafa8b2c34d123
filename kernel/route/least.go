package route

import (
	"cmp"
	"slices"
	"time"

	"anvilcross/kernel/ident"
)

const (
	// subsetSize bounds the endpoints of one service and data centre that an
	// instance calls, so that its connections and the load reports that it gets
	// do not grow with the fleet.
	subsetSize = 12
	// prefixSavingShare is the share of a call's duration that a cached prefix
	// saves.
	prefixSavingShare = 0.3
	// maxPrefixAge is how long after a call with a prefix from this instance the
	// endpoint is assumed to have the prefix cached.
	maxPrefixAge = time.Minute
)

// The least policy picks the endpoint with the shortest estimated call time from a
// deterministic subset of the candidates in the instance's own data centre. It picks
// one in another data centre only if the own one has no candidates, or would miss the
// deadline and is slower even with the round trip taken into account.
func init() {
	Register(&Policy{Name: "least", Choose: chooseFastest})
}

// chooseFastest implements the least policy.
func chooseFastest(in *PolicyInput) *Endpoint {
	local, remote := splitByDataCentre(in)
	best, millis := findFastest(in, selectSubset(in.Seat, local))
	if best != nil && millis <= in.RemainingMillis {
		return best
	}
	remoteBest, remoteMillis := findFastest(in, selectSubset(in.Seat, remote))
	if best == nil || remoteBest != nil && remoteMillis+in.CrossRoundTripMillis < millis {
		return remoteBest
	}
	return best
}

// splitByDataCentre splits the candidates into those of the instance's own data centre
// and the others.
func splitByDataCentre(in *PolicyInput) (local, remote []*Endpoint) {
	for _, e := range in.Candidates {
		if e.DataCentre == in.DataCentre {
			local = append(local, e)
		} else {
			remote = append(remote, e)
		}
	}
	return local, remote
}

// selectSubset returns the subsetSize endpoints with the highest rendezvous score for
// the instance.
func selectSubset(seat ident.Instance, all []*Endpoint) []*Endpoint {
	if len(all) <= subsetSize {
		return all
	}
	ranked := slices.Clone(all)
	slices.SortFunc(ranked, func(a, b *Endpoint) int {
		return cmp.Compare(ident.HashPair(string(seat), string(b.Name)), ident.HashPair(string(seat), string(a.Name)))
	})
	return ranked[:subsetSize]
}

// findFastest returns the endpoint with the shortest estimated call time and that time
// in milliseconds. It scans from a random position, so that endpoints with equal
// estimates share the load.
func findFastest(in *PolicyInput, all []*Endpoint) (*Endpoint, float64) {
	if len(all) == 0 {
		return nil, 0
	}
	var best *Endpoint
	bestMillis := 0.0
	offset := in.Random.IntN(len(all))
	for i := range all {
		e := all[(i+offset)%len(all)]
		millis := estimateMillis(in, e)
		if best == nil || millis < bestMillis {
			best, bestMillis = e, millis
		}
	}
	return best, bestMillis
}

// estimateMillis estimates the duration of a call, including the wait for the calls
// that are already at the endpoint. A measured latency counts as at least a quarter of
// the configured duration.
func estimateMillis(in *PolicyInput, e *Endpoint) float64 {
	serviceMillis := max(e.LatencyMillis, in.ExpectedMillis/4)
	if e.LatencyMillis == 0 {
		serviceMillis = in.ExpectedMillis
	}
	serviceMillis = max(serviceMillis, e.StalledMillis(in.Now))
	if in.Prefix != 0 && e.HasCachedPrefix(in.Now, in.Prefix, maxPrefixAge) {
		serviceMillis *= 1 - prefixSavingShare
	}
	return serviceMillis * (1 + e.EstimatedInFlight(in.Now)/float64(max(in.Concurrency, 1)))
}
