package gateway

import (
	"slices"
	"time"

	"anvilcross/kernel/evacuation"
	"anvilcross/kernel/ident"
	"anvilcross/kernel/placement"
	"anvilcross/kernel/stagepools"
	"anvilcross/kernel/value"
)

const (
	// awayPenalty is the queue wait that is accepted in a request's home data
	// centre: elsewhere, its shared prompt part is read again, and its results
	// may cross data centres.
	awayPenalty = 250 * time.Millisecond
	// sampledCentres is the number of other data centres that are compared with
	// the home. Instances hear of queue waits with a delay, so if all chose the
	// shortest queue, they would overload it together.
	sampledCentres = 2
)

// pools returns the division of the stage endpoints into pools. It is computed
// from the published configuration, listings and evacuations only, so that instances agree.
func (g *Gateway) pools() *stagepools.Map {
	if g.poolCache == nil {
		g.poolCache = stagepools.NewMap(g.catalog, g.directory)
	}
	return g.poolCache
}

// poolOf returns the pool that computes a service's pieces for requests whose
// stages run in a data centre.
func (g *Gateway) poolOf(s ident.Service, dataCentre ident.DataCentre) ident.Pool {
	if !g.pools().Divided {
		return ident.Pool{Service: s}
	}
	return ident.Pool{Service: s, DataCentre: dataCentre}
}

// servingCentres returns the data centres that can and may run all stages of a request
// and whose batchers are alive.
func (g *Gateway) servingCentres(r *request, services []ident.Service) []ident.DataCentre {
	centres := value.NewSet[ident.DataCentre]()
	for dataCentre := range g.pools().Counts[services[0]] {
		serves := !slices.ContainsFunc(services, func(s ident.Service) bool {
			return g.pools().Counts[s][dataCentre] == 0 || g.batcherOf(g.poolOf(s, dataCentre)) == ""
		})
		if serves && g.mayServe(r, dataCentre) {
			centres.Add(dataCentre)
		}
	}
	return centres.Sorted()
}

// chooseStageDataCentre returns the data centre in which a request's stages
// should run: that of the affinity endpoint of its prompt, its home. It is empty
// if there is no preference. If each data centre has its own pools, it may be
// another one that is less busy, and is empty only if none can run the stages.
func (g *Gateway) chooseStageDataCentre(r *request) ident.DataCentre {
	home := g.homeDataCentre(r)
	services := r.stages.Services()
	if !g.pools().Divided || len(services) == 0 {
		return home
	}
	serving := evacuation.Without(g.servingCentres(r, services), g.evacuations.Draw(g.now(), g.random.Float64), func(d ident.DataCentre) ident.DataCentre { return d })
	best, bestWait := ident.DataCentre(""), time.Duration(0)
	consider := func(dataCentre ident.DataCentre, penalty time.Duration) {
		wait := penalty
		for _, s := range services {
			wait += g.queueWait(g.poolOf(s, dataCentre))
		}
		if best == "" || wait < bestWait {
			best, bestWait = dataCentre, wait
		}
	}
	if at := slices.Index(serving, home); at >= 0 {
		consider(home, 0)
		serving = slices.Delete(serving, at, at+1)
	}
	for range min(sampledCentres, len(serving)) {
		at := g.random.IntN(len(serving))
		consider(serving[at], awayPenalty)
		serving = slices.Delete(serving, at, at+1)
	}
	return best
}

// homeDataCentre returns the data centre of the affinity endpoint of a request's
// prompt, or else that of this instance if pools are divided.
func (g *Gateway) homeDataCentre(r *request) ident.DataCentre {
	if r.route.CarriesPrompts {
		prefix, _ := r.sharedPrefix()
		candidates := g.directory.Candidates(g.now(), r.service, g.outsideBound(r))
		if affinity, _ := placement.AffinityEndpoints(prefix, candidates, placement.AffinityWeights(g.directory, r.route, candidates)); affinity != nil {
			return affinity.DataCentre
		}
	}
	if g.pools().Divided {
		return g.config.Self.DataCentre
	}
	return ""
}
