package gateway

import (
	"time"

	"anvilcross/kernel/ident"
	"anvilcross/kernel/ratelimit"
)

// HandleNamedLimit handles the rate limit that an answer of an endpoint names, or
// Unlimited if it names none. The request was sent the given time ago.
func (g *Gateway) HandleNamedLimit(name ident.Endpoint, rate ratelimit.Rate, sentAgo time.Duration) {
	known, limited := g.namedLimits[name]
	if !limited {
		known = ratelimit.Unlimited
	}
	if rate == known {
		return
	}
	g.namedLimits[name] = rate
	g.out.LogEvent("endpointLimit", "endpoint", name, "rate", float64(rate), "before", float64(known), "sentAgo", sentAgo)
}

// HandleNamedLimitAt handles the rate limit that an answer of the endpoint at an
// address names.
func (g *Gateway) HandleNamedLimitAt(address string, rate ratelimit.Rate, sentAgo time.Duration) {
	if e := g.directory.ByAddress(address); e != nil {
		g.HandleNamedLimit(e.Name, rate, sentAgo)
	}
}
