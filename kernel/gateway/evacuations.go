package gateway

import (
	"slices"
	"time"

	"anvilcross/kernel/endpoints"
	"anvilcross/kernel/ident"
	"anvilcross/kernel/replica"
	"anvilcross/kernel/value"
)

// recordEvacuation records what the platform says of the evacuation of a data centre.
// applyEvacuations has to follow.
func (g *Gateway) recordEvacuation(dataCentre ident.DataCentre, r replica.Record, source string, unconfirmedFor time.Duration) {
	now := g.now()
	switch {
	case !r.Removed && g.evacuations.Begin(now, dataCentre):
		g.evacuationsChanged = true
		g.out.LogEvent("evacuationBegun", "evacuated", dataCentre, "revision", r.Revision, "source", source, "running", g.runningIn(dataCentre))
	case r.Removed && g.evacuations.End(now, dataCentre, r.Revision, unconfirmedFor):
		g.logEvacuationEnded(dataCentre, source)
	}
}

// logEvacuationEnded logs that an evacuation has ended; applyEvacuations has to follow.
func (g *Gateway) logEvacuationEnded(dataCentre ident.DataCentre, source string) {
	g.evacuationsChanged = true
	g.out.LogEvent("evacuationEnded", "evacuated", dataCentre, "source", source, "running", g.runningIn(dataCentre))
	g.HandleEvacuationEnded(dataCentre)
}

// applyEvacuations applies a change of the evacuated data centres: requests that wait are sent
// elsewhere or answered. The next tick dissolves the pools there and returns their pieces.
func (g *Gateway) applyEvacuations() {
	if !g.evacuationsChanged {
		return
	}
	g.evacuationsChanged = false
	g.directory.SetEvacuated(value.NewSet(g.evacuations.List()...))
	g.poolCache = nil
	clear(g.batcherCache)
	if g.catalog == nil {
		return
	}
	for _, h := range value.SortedKeys(g.requests) {
		if r := g.requests[h]; r != nil && r.route != nil && r.attempt == nil {
			g.advance(r)
		}
	}
	g.batcher.DispatchAll()
}

// returnEvacuatedPieces returns the pieces that wait for calls in evacuated data centres to
// their origins, which submit them elsewhere. Those of an origin that does not know of the
// evacuation yet come back, but only with the next tick.
func (g *Gateway) returnEvacuatedPieces() {
	for _, pool := range g.batcher.WaitingPools() {
		if g.evacuations.InForce(pool.DataCentre) {
			g.batcher.HandOver(pool)
		}
	}
}

// runningIn returns the number of this instance's requests and stage calls that run in a data
// centre.
func (g *Gateway) runningIn(dataCentre ident.DataCentre) int {
	running := 0
	for _, e := range g.directory.InDataCentre(dataCentre) {
		running += e.OwnRequests + g.batcher.RunningCalls(e.Name)
	}
	return running
}

// EvacuationCounts returns how many data centres are evacuated, and how many of this
// instance's requests and stage calls still run there.
func (g *Gateway) EvacuationCounts() (dataCentres, running int) {
	list := g.evacuations.List()
	for _, dataCentre := range list {
		running += g.runningIn(dataCentre)
	}
	return len(list), running
}

// withheld reports whether an endpoint gets nothing from this instance now, at its own wish or
// because its data centre is evacuated.
func (g *Gateway) withheld(now time.Time, e *endpoints.Endpoint) bool {
	return e.Withheld(now) || g.directory.Evacuated(e)
}

// mayServe reports whether a request may reach endpoints in a data centre.
func (g *Gateway) mayServe(r *request, dataCentre ident.DataCentre) bool {
	return !g.evacuations.InForce(dataCentre) && r.bound.Permits(g.config.Regions, dataCentre)
}

// mayForwardTo reports whether the body of a request may be forwarded to a member.
func (g *Gateway) mayForwardTo(r *request, name ident.Instance) bool {
	return r.bound.PermitsForward(g.config.Regions, g.config.Self.DataCentre, g.members.DataCentre(name))
}

// outsideBound returns the endpoints of a request's service that are outside its regions; nil
// if it is not restricted.
func (g *Gateway) outsideBound(r *request) value.Set[ident.Endpoint] {
	if !r.bound.Restricts() {
		return nil
	}
	return g.directory.Outside(r.service, func(d ident.DataCentre) bool { return r.bound.Permits(g.config.Regions, d) })
}

// refuseEvacuated answers a request that has no attempt, if all endpoints of one of the services
// that it still needs are evacuated or outside its regions, and reports whether it did.
func (g *Gateway) refuseEvacuated(r *request) bool {
	if r.attempt != nil || len(g.evacuations.List()) == 0 && !r.bound.Restricts() {
		return false
	}
	needed := []ident.Service{r.service}
	for i := range r.stages {
		if s := &r.stages[i]; s.MissingCount > 0 && !s.Released {
			needed = append(needed, s.Spec.Service)
		}
	}
	barred := func(s ident.Service) bool {
		outside := g.directory.Outside(s, func(d ident.DataCentre) bool { return g.mayServe(r, d) })
		return len(outside) > 0 && len(outside) == len(g.directory.ByService(s))
	}
	if !slices.ContainsFunc(needed, barred) {
		return false
	}
	g.fail(r, busyRetryAfter, "all endpoints are evacuated or outside the allowed regions")
	return true
}

// leaveEvacuated lets the stages of a request that have not been submitted run elsewhere, if
// the data centre in which they were to run is evacuated. Pieces that run there end by
// themselves. If no data centre can run the stages, it answers the request and returns false.
func (g *Gateway) leaveEvacuated(r *request) bool {
	if !g.pools().Divided || !g.evacuations.InForce(r.preferredDataCentre) {
		return true
	}
	from := r.preferredDataCentre
	r.preferredDataCentre = g.chooseStageDataCentre(r)
	g.out.LogEvent("stagesMoved", "request", r.incoming.ID, "from", from, "to", r.preferredDataCentre, "after", g.now().Sub(r.arrivedAt))
	if r.preferredDataCentre == "" {
		g.fail(r, busyRetryAfter, noStageCentre)
	}
	return r.preferredDataCentre != ""
}

// poolFor returns the pool that computes a service's pieces for a request. The pieces of a
// request that is restricted to regions are computed in one data centre even if the fleet is
// not divided into pools: a pool of all data centres has endpoints outside the regions. It
// returns false if there is no such data centre.
func (g *Gateway) poolFor(r *request, s ident.Service) (ident.Pool, bool) {
	if !r.bound.Restricts() {
		return g.poolOf(s, r.preferredDataCentre), true
	}
	best, bestScore := ident.Pool{}, uint64(0)
	for _, dataCentre := range value.SortedKeys(g.pools().Counts[s]) {
		pool := ident.Pool{Service: s, DataCentre: dataCentre}
		if !g.mayServe(r, dataCentre) || g.batcherOf(pool) == "" {
			continue
		}
		if dataCentre == r.preferredDataCentre {
			return pool, true
		}
		if score := ident.HashPair(string(r.incoming.ID), string(dataCentre)); best.DataCentre == "" || score > bestScore {
			best, bestScore = pool, score
		}
	}
	return best, best.DataCentre != ""
}

// recovered reports whether a stage endpoint may get calls of a pool. In a pool of all data
// centres, the endpoints of one whose evacuation has ended lately come back one after the
// other. The requests of a pool of one data centre have been drawn when they chose it.
func (g *Gateway) recovered(now time.Time, e *endpoints.Endpoint, pool ident.Pool) bool {
	return pool.DataCentre != "" || g.evacuations.Recovered(now, e.Name, e.DataCentre)
}
