package gateway

import (
	"maps"
	"slices"
	"time"

	"anvilcross/kernel/endpoints"
	"anvilcross/kernel/ident"
	"anvilcross/kernel/message"
	"anvilcross/kernel/paths"
	"anvilcross/kernel/value"
)

const (
	// checkedEndpoints is the number of endpoints of a service to which an instance
	// connects to find out whether it has lost its path to them, and maxCheckedEndpoints
	// how many it tries before it is sure.
	checkedEndpoints    = 4
	maxCheckedEndpoints = 24
	// pathProbePeriod is the interval of the connections that find out whether a lost path
	// is back.
	pathProbePeriod = 250 * time.Millisecond
	// pathReportTTL is how long a member's report of lost paths is valid.
	pathReportTTL = 5 * time.Second
	// maxPathMembers bounds the members in a report of those that have paths.
	maxPathMembers = 8
)

// pathReport is what a member last reported of lost paths.
type pathReport struct {
	lost value.Set[ident.Service]
	at   time.Time
}

// suspectPath checks whether this instance has lost its path to an endpoint's service, since
// an exchange with the endpoint has failed.
func (g *Gateway) suspectPath(e *endpoints.Endpoint) {
	g.beginPathCheck(e.Service, e)
}

// suspectSilence does the same for an exchange that began at a time and brought no response,
// unless another endpoint of the service has responded since.
func (g *Gateway) suspectSilence(e *endpoints.Endpoint, since time.Time) {
	responded := slices.ContainsFunc(g.directory.ByService(e.Service), func(o *endpoints.Endpoint) bool { return o.RespondedSince(since) })
	if !responded {
		g.suspectPath(e)
	}
}

// beginPathCheck connects to some endpoints of a service, among them the given one unless
// that is nil.
func (g *Gateway) beginPathCheck(s ident.Service, suspect *endpoints.Endpoint) {
	mayHaveCrashed := suspect != nil && len(g.crashes.brokenExchanges[suspect.Name]) > 0
	g.connectTo(g.paths.Begin(g.now(), s, g.sampleEndpoints(s, suspect, checkedEndpoints), mayHaveCrashed))
}

func (g *Gateway) connectTo(names []ident.Endpoint) {
	for _, name := range names {
		if e := g.directory.Lookup(name); e != nil {
			g.out.CheckEndpoint(e.Name, e.Address)
		}
	}
}

// sampleEndpoints returns some endpoints of a service, of as many data centres as possible,
// and the given one first unless that is nil.
func (g *Gateway) sampleEndpoints(s ident.Service, first *endpoints.Endpoint, count int) []ident.Endpoint {
	// sample gets one endpoint of each data centre, rest the others.
	var sample, rest []ident.Endpoint
	centres := value.NewSet[ident.DataCentre]()
	if first != nil {
		sample = append(sample, first.Name)
		centres.Add(first.DataCentre)
	}
	all := g.directory.ByService(s)
	for _, at := range g.random.Perm(len(all)) {
		switch e := all[at]; {
		case e == first || g.withheld(g.now(), e):
		case centres.Has(e.DataCentre):
			rest = append(rest, e.Name)
		default:
			sample = append(sample, e.Name)
			centres.Add(e.DataCentre)
		}
	}
	sample = append(sample, rest...)
	return sample[:min(len(sample), count)]
}

// widerSample returns further endpoints of a service. If it has only one, they are those of
// other services: their connections tell a crash of that one from a lost path.
func (g *Gateway) widerSample(s ident.Service) []ident.Endpoint {
	all := g.directory.ByService(s)
	if len(all) == 1 {
		var others []ident.Endpoint
		for _, o := range value.SortedKeys(g.serviceNames()) {
			if o != s {
				others = append(others, g.sampleEndpoints(o, nil, 1)...)
			}
		}
		return others
	}
	var names []ident.Endpoint
	for _, at := range g.random.Perm(len(all))[:min(len(all), maxCheckedEndpoints)] {
		names = append(names, all[at].Name)
	}
	return names
}

// seemsUnreachable reports whether the path to a service is being checked and all endpoints
// that take requests are ejected. The check says whether other instances may serve them.
func (g *Gateway) seemsUnreachable(s ident.Service) bool {
	now := g.now()
	return g.paths.Checking(s) && !slices.ContainsFunc(g.directory.ByService(s), func(e *endpoints.Endpoint) bool {
		return !g.withheld(now, e) && !e.Ejected(now)
	})
}

// HandleEndpointChecked handles the result of connecting to an endpoint.
func (g *Gateway) HandleEndpointChecked(name ident.Endpoint, r paths.Result) {
	if e := g.directory.Lookup(name); e != nil && r == paths.Refused {
		g.suspectCold(e)
	}
	service, change, ended := g.paths.Record(g.now(), name, r)
	for _, name := range ended {
		if e := g.directory.Lookup(name); e != nil {
			e.MarkUnreachable(g.now())
			g.recordEndpointGone(e)
		}
	}
	if change == paths.Unsure {
		ask, lost := g.paths.Widen(g.now(), service, g.widerSample(service))
		g.connectTo(ask)
		if lost {
			change = paths.Lost
		}
	}
	switch change {
	case paths.Lost:
		g.handlePathLost(service)
	case paths.Restored:
		g.handlePathRestored(service)
	}
	g.resumeChecked(service)
}

// resumeChecked goes on with the requests that wait for the result of a check, if it is over.
func (g *Gateway) resumeChecked(s ident.Service) {
	if g.paths.Checking(s) {
		return
	}
	for _, h := range value.SortedKeys(g.requests) {
		if r := g.requests[h]; r != nil && r.awaitsPath && r.service == s {
			r.awaitsPath = false
			g.advance(r)
		}
	}
}

// handlePathLost makes other instances batch for a service to which the path is lost, and
// checks the paths to all other services.
func (g *Gateway) handlePathLost(lost ident.Service) {
	g.counters.PathsLost++
	g.out.LogEvent("pathLost", "service", lost, "endpoints", len(g.directory.ByService(lost)))
	g.announcePaths()
	for _, s := range value.SortedKeys(g.serviceNames()) {
		if s != lost {
			g.beginPathCheck(s, nil)
		}
	}
}

// handlePathRestored uses the endpoints of a service again.
func (g *Gateway) handlePathRestored(s ident.Service) {
	g.out.LogEvent("pathRestored", "service", s)
	for _, e := range g.directory.ByService(s) {
		e.Readmit()
	}
	g.announcePaths()
	// Endpoints may have crashed, too.
	for _, e := range g.directory.ByService(s) {
		if len(g.crashes.brokenExchanges[e.Name]) > 0 {
			g.suspectPath(e)
		}
	}
}

// announcePaths tells the core members at once which paths are lost, and hands over or takes
// the pools that are concerned.
func (g *Gateway) announcePaths() {
	now := g.now()
	clear(g.batcherCache)
	g.cachedPong = nil
	if g.catalog != nil {
		g.updateBatchingClaims(now)
	}
	p := g.newPing(now)
	for _, name := range g.members.Core(now) {
		if name != g.config.Self.Name {
			g.sendToMember(name, message.Envelope{Ping: &p})
		}
	}
}

// probePaths connects to one endpoint of each service to which the path is lost, and forgets
// old reports.
func (g *Gateway) probePaths() {
	maps.DeleteFunc(g.pathReports, func(_ ident.Instance, r pathReport) bool { return g.now().Sub(r.at) > pathReportTTL })
	for _, s := range g.paths.Expire(g.now()) {
		g.resumeChecked(s)
	}
	for _, s := range g.paths.LostServices() {
		all := g.directory.ByService(s)
		if len(all) == 0 {
			continue
		}
		if e := all[g.random.IntN(len(all))]; g.paths.Probe(s, e.Name) {
			g.out.CheckEndpoint(e.Name, e.Address)
		}
	}
}

// recordPathReport stores which paths a member has lost.
func (g *Gateway) recordPathReport(now time.Time, from ident.Instance, lost []ident.Service) {
	before, known := g.pathReports[from]
	if len(lost) == 0 && !known {
		return
	}
	if len(lost) != len(before.lost) {
		clear(g.batcherCache)
	}
	if len(lost) == 0 {
		delete(g.pathReports, from)
		return
	}
	g.pathReports[from] = pathReport{lost: value.NewSet(lost...), at: now}
}

// pathMembers returns some alive members that report no lost path, if this is a core member
// of a large fleet in which others do: these hear from few members themselves.
func (g *Gateway) pathMembers(now time.Time) []ident.Instance {
	if !g.members.IsLarge() || len(g.pathReports) == 0 || !g.members.InCore(now, g.config.Self.Name) {
		return nil
	}
	var found []ident.Instance
	alive := g.members.AliveMembers(now)
	for _, at := range g.random.Perm(len(alive)) {
		name := alive[at]
		report, reported := g.pathReports[name]
		lost := reported && now.Sub(report.at) <= pathReportTTL || name == g.config.Self.Name && len(g.paths.LostServices()) > 0
		if !lost && len(found) < maxPathMembers {
			found = append(found, name)
		}
	}
	return found
}

// lacksPath reports whether an instance has no path to a service, as far as this one knows.
func (g *Gateway) lacksPath(name ident.Instance, s ident.Service) bool {
	if name == g.config.Self.Name {
		return g.paths.Lost(s)
	}
	r, reported := g.pathReports[name]
	return reported && g.now().Sub(r.at) <= pathReportTTL && r.lost.Has(s)
}

// recentlyUnreachable returns the endpoints that this instance could not reach lately, for
// others. Those to which it has no path are left out: that says nothing of them.
func (g *Gateway) recentlyUnreachable(now time.Time) map[ident.Endpoint]time.Duration {
	ages := g.directory.RecentlyUnreachable(now)
	for name := range ages {
		if e := g.directory.Lookup(name); e != nil && g.paths.Lost(e.Service) {
			delete(ages, name)
		}
	}
	return ages
}
