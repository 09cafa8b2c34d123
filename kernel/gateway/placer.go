package gateway

import (
	"anvilcross/kernel/ident"
	"anvilcross/kernel/message"
	"anvilcross/kernel/placement"
	"anvilcross/kernel/value"
)

// placerOf returns the instance that places the long prompts of a service, so that they do not meet.
func (g *Gateway) placerOf(s ident.Service) ident.Instance {
	lacksPath := func(name ident.Instance) bool { return g.lacksPath(name, s) }
	return g.members.OwnerExcept(g.now(), "placer/"+string(s), "", lacksPath)
}

// askPlacer asks the placer to choose an endpoint for a request with a long prompt. It reports
// whether the request waits for the reply.
func (g *Gateway) askPlacer(r *request) bool {
	if r.askedPlacer || r.granted.Endpoint != "" || !r.route.CarriesPrompts || !g.estimates(r) {
		return false
	}
	r.askedPlacer = true
	excluded := g.excludedFor(r)
	p := g.promptOf(r, g.directory.Candidates(g.now(), r.service, excluded))
	placer := g.placerOf(r.service)
	if !p.IsLong() || placer == g.config.Self.Name {
		return false
	}
	r.awaitsPlacement = g.placement.Ask(placer, placement.Request{Prompt: p, Excluded: excluded.Sorted(), Works: g.placement.Works(g.now())}, func(named ident.EndpointProcess) {
		r.awaitsPlacement, r.placed = false, named
		g.advance(r)
	})
	return r.awaitsPlacement
}

// handlePlacementRequest chooses an endpoint for another instance.
func (g *Gateway) handlePlacementRequest(from ident.Instance, m placement.Request) {
	if g.catalog == nil {
		return
	}
	candidates := g.withoutBlocked(g.now(), g.directory.Candidates(g.now(), m.Prompt.Service, value.NewSet(m.Excluded...)))
	reply := g.placement.Place(g.now(), g.catalog, m, candidates)
	g.sendToMember(from, message.Envelope{PlacementReply: &reply})
}
