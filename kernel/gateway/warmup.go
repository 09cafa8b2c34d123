package gateway

import (
	"time"

	"anvilcross/kernel/endpoints"
	"anvilcross/kernel/ident"
	"anvilcross/kernel/published"
	"anvilcross/kernel/ratelimit"
	"anvilcross/kernel/warmup"
)

const (
	// coldNewsPings is the number of ping periods for which news of cold endpoints is sent.
	coldNewsPings = 5
	// firstListTime is the time from the first records of an instance within which the rest of
	// them arrives, in several messages.
	firstListTime = time.Second
	// permitUseTime is how long after its permit a request may be written to a cold endpoint,
	// and a call be sent to a cold stage endpoint.
	permitUseTime = 150 * time.Millisecond
	// lastResortCostMillis is the cost of a cold endpoint to a request that must not be
	// repeated, above all other costs.
	lastResortCostMillis = 1e9
)

// coldProfile returns what the configuration says of the cold endpoints of a service.
func (g *Gateway) coldProfile(s ident.Service) warmup.Profile {
	if g.catalog == nil || g.catalog.Services[s] == nil {
		return warmup.Profile{}
	}
	c := g.catalog.Services[s]
	return warmup.Profile{ColdTime: c.ColdTime, Rate: ratelimit.Rate(c.ColdPerSecond)}
}

func (g *Gateway) isCold(e *endpoints.Endpoint) bool { return g.warmup.Cold(g.now(), e.Process()) }

// listWarmup handles the record of an endpoint.
func (g *Gateway) listWarmup(l endpoints.Listing) {
	now := g.now()
	if g.firstRecordsAt.IsZero() {
		g.firstRecordsAt = now
	}
	g.warmup.HandleListed(now, l, now.Sub(g.firstRecordsAt) < firstListTime)
}

// suspectCold handles that an endpoint could not be reached, unless that says nothing of it.
func (g *Gateway) suspectCold(e *endpoints.Endpoint) {
	if !g.paths.Lost(e.Service) && !g.directory.InPartition(e) {
		g.warmup.HandleUnreachable(g.now(), e.Process())
	}
}

// HandleEvacuationEnded handles that a data centre may get requests again after an evacuation.
func (g *Gateway) HandleEvacuationEnded(dataCentre ident.DataCentre) {
	g.warmup.HandleEvacuationEnded(g.now(), dataCentre)
}

// ColdCounts returns how many endpoints are cold, and how many of them only are suspected to be.
func (g *Gateway) ColdCounts() (cold, suspected int) { return g.warmup.Counts(g.now()) }

// updateWarmup logs which endpoints have become cold or warm, and asks the suspected ones.
func (g *Gateway) updateWarmup(now time.Time) {
	g.warmup.Expire(now, func(p ident.EndpointProcess) bool {
		e := g.directory.Lookup(p.Endpoint)
		return e != nil && e.Process() == p
	})
	for _, c := range g.warmup.Changes(now) {
		name := "endpointWarm"
		if c.Cold {
			name = "endpointCold"
		}
		g.out.LogEvent(name, "endpoint", c.Process.Endpoint, "service", c.Service, "started", c.Process.StartedUnixMillis, "cause", c.Cause, "left", c.Left)
	}
	for _, p := range g.warmup.Suspects(now) {
		e := g.directory.Lookup(p.Endpoint)
		if e == nil || e.Withheld(now) || !g.asksHealth(now, e) || !g.warmup.TakeQuery(now, p) {
			continue
		}
		if s := g.catalog.Services[e.Service]; s != nil && s.HealthPath != "" {
			g.counters.HealthQueries++
			g.out.QueryHealth(p, e.Address, s.HealthPath)
		}
	}
}

// asksHealth reports whether this instance asks an endpoint for the fleet whether it is cold:
// the first by rank of its data centre or, where no instance is, of the core.
func (g *Gateway) asksHealth(now time.Time, e *endpoints.Endpoint) bool {
	key := "health/" + string(e.Name)
	if e.DataCentre == g.config.Self.DataCentre {
		ranked := g.members.RankedLocalMembers(now, key)
		return len(ranked) > 0 && ranked[0] == g.config.Self.Name
	}
	for _, name := range g.members.AliveMembers(now) {
		if g.members.DataCentre(name) == e.DataCentre {
			return false
		}
	}
	return g.members.Owner(now, key, "") == g.config.Self.Name
}

// permitMillis is the time of a permit: a round trip between data centres takes about 7 ms.
const permitMillis = 7.0

// coldCostMillis returns the cost of a cold endpoint to a request: the time of its permit, and
// its own latency since few requests keep it warm.
func (g *Gateway) coldCostMillis(r *request, e *endpoints.Endpoint) float64 {
	switch {
	case !g.isCold(e):
		return 0
	case r.route.Kind == published.Unsafe:
		return lastResortCostMillis
	}
	return permitMillis + e.LatencyMillis
}

// lacksPermit reports whether a request must not be written to an endpoint that is cold now:
// it was sent without a permit, or has taken long since.
func (g *Gateway) lacksPermit(a *attempt, e *endpoints.Endpoint) bool {
	return g.isCold(e) && (!a.permitted || g.now().Sub(a.startedAt) > permitUseTime)
}
