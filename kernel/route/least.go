package route

import (
	"cmp"
	"slices"
	"time"

	"anvilcross/kernel/ident"
)

const (
	// subsetSize bounds the endpoints of one service and data centre that an
	// instance spreads its calls over, so that connections and load reports
	// per instance do not grow with the fleet.
	subsetSize = 12
	// prefixGain is the share of the time that a cached prefix saves.
	prefixGain = 0.3
	// prefixAge is how long an own call is taken as a sign of a cached prefix.
	prefixAge = time.Minute
)

// The least policy takes the endpoint with the shortest expected time, of a
// deterministic subset in the own data centre. It goes to another data centre
// only when the own one would miss the deadline.
func init() {
	Register(&Policy{Name: "least", Choose: chooseLeast})
}

func chooseLeast(c *PolicyInput) *Endpoint {
	near, far := split(c)
	best, millis := fastest(c, subset(c.Seat, near))
	if best != nil && millis <= c.RemainingMillis {
		return best
	}
	other, otherMillis := fastest(c, subset(c.Seat, far))
	if best == nil || other != nil && otherMillis+c.CrossRoundTripMillis < millis {
		return other
	}
	return best
}

func split(c *PolicyInput) (near, far []*Endpoint) {
	for _, e := range c.Candidates {
		if e.DataCentre == c.DataCentre {
			near = append(near, e)
		} else {
			far = append(far, e)
		}
	}
	return near, far
}

// subset returns the endpoints that rank highest for this instance.
func subset(seat ident.Instance, all []*Endpoint) []*Endpoint {
	if len(all) <= subsetSize {
		return all
	}
	ranked := slices.Clone(all)
	slices.SortFunc(ranked, func(a, b *Endpoint) int {
		return cmp.Compare(ident.HashPair(string(seat), string(b.Name)), ident.HashPair(string(seat), string(a.Name)))
	})
	return ranked[:subsetSize]
}

// fastest scans from a random place, so that equals share the work.
func fastest(c *PolicyInput, all []*Endpoint) (*Endpoint, float64) {
	if len(all) == 0 {
		return nil, 0
	}
	var best *Endpoint
	least := 0.0
	offset := c.Random.IntN(len(all))
	for i := range all {
		e := all[(i+offset)%len(all)]
		millis := expectedMillis(c, e)
		if best == nil || millis < least {
			best, least = e, millis
		}
	}
	return best, least
}

// expectedMillis is the time of a call that waits for the work before it.
func expectedMillis(c *PolicyInput, e *Endpoint) float64 {
	service := max(e.LatencyMillis, c.ExpectedMillis/4)
	if e.LatencyMillis == 0 {
		service = c.ExpectedMillis
	}
	service = max(service, e.StalledMillis(c.Now))
	if c.Prefix != 0 && e.HasCachedPrefix(c.Now, c.Prefix, prefixAge) {
		service *= 1 - prefixGain
	}
	return service * (1 + e.EstimatedInFlight(c.Now)/float64(max(c.Concurrency, 1)))
}
