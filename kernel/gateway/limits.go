package gateway

import (
	"maps"
	"slices"
	"time"

	"anvilcross/kernel/endpoints"
	"anvilcross/kernel/ident"
	"anvilcross/kernel/message"
	"anvilcross/kernel/ratelimit"
	"anvilcross/kernel/value"
	"anvilcross/kernel/warmup"
)

// permitLeasePings is the number of ping periods for which an instance leases its share
// of the rate limits: a few pings may be lost.
const permitLeasePings = 4

// recordLimit records the rate limit that an answer of an endpoint's process names, or
// Unlimited if it names none. The request was sent the given time ago.
func (g *Gateway) recordLimit(p ident.EndpointProcess, rate ratelimit.Rate, sentAgo time.Duration) {
	if !g.limits.Record(g.now(), p, rate, sentAgo) {
		return
	}
	if e := g.directory.Lookup(p.Endpoint); e != nil {
		g.logLimit(e, ownAnswer)
	}
}

// logLimit logs a change of an endpoint's limit. source is the instance that told it,
// or answer.
func (g *Gateway) logLimit(e *endpoints.Endpoint, source string) {
	g.out.LogEvent("endpointLimit", "endpoint", e.Name, "service", e.Service, "rate", float64(g.limitOf(e)), "source", source, "issuer", g.lender.Issuer(g.now()))
}

func (g *Gateway) limitOf(e *endpoints.Endpoint) ratelimit.Rate { return g.rateOf(e.Process()) }

// rateOf returns the stricter of the rate limit that a process names and that while it is cold.
func (g *Gateway) rateOf(p ident.EndpointProcess) ratelimit.Rate {
	return g.limits.Rate(p).Stricter(g.warmup.Rate(g.now(), p))
}

// anyLimited reports whether any endpoint has a rate limit.
func (g *Gateway) anyLimited(now time.Time) bool { return !g.limits.Empty() || !g.warmup.Empty(now) }

// leasesShares reports whether this instance leases its share of the rate limits: always if
// endpoints may become cold, so that the first one that is does not wait for the leases.
func (g *Gateway) leasesShares() bool {
	return !g.limits.Empty() || g.catalog != nil && g.catalog.HasColdEndpoints()
}

func (g *Gateway) isLimited(e *endpoints.Endpoint) bool {
	return g.limitOf(e) != ratelimit.Unlimited
}

// addLimits adds to a ping what this instance knows of rate limits, and to whom it
// leases its share of them.
func (g *Gateway) addLimits(now time.Time, p *message.Ping) {
	coldReports := warmup.MaxReports
	if g.members.IsLarge() {
		coldReports = warmup.MaxLargeFleetReports
	}
	p.Limits, p.Cold = g.limits.Reports(now), g.warmup.Reports(now, coldNewsPings*g.members.PingPeriod(), coldReports)
	if g.shuttingDown || !g.leasesShares() {
		return
	}
	p.PermitClock = g.issuer.Clock(now)
	p.PermitLease = g.renewLease(now)
}

// renewLease leases this instance's share of the rate limits to the issuer of its view
// of the fleet.
func (g *Gateway) renewLease(now time.Time) *ratelimit.Lease {
	self := g.config.Self
	g.lender.RecordClock(now, self.Name, self.Incarnation, g.issuer.Clock(now))
	lease := g.lender.Renew(now, g.members.Owner(now, "permits", ""), permitLeasePings*g.members.PingPeriod())
	g.issuer.HandleLease(self.Name, lease)
	return lease
}

// mergeLimits merges what a member reports of rate limits.
func (g *Gateway) mergeLimits(now time.Time, p message.Ping) {
	g.fleetSize.Record(now, p.KnownCount)
	switch {
	case p.Leaving:
		g.lender.Revoke(p.Member.Name, p.Member.Incarnation)
	case p.PermitClock > 0:
		g.lender.RecordClock(now, p.Member.Name, p.Member.Incarnation, p.PermitClock)
	}
	g.issuer.HandleLease(p.Member.Name, p.PermitLease)
	g.warmup.MergeAll(now, p.Cold)
	for _, name := range value.SortedKeys(p.Limits) {
		if g.limits.Merge(now, name, p.Limits[name]) {
			if e := g.directory.Lookup(name); e != nil {
				g.logLimit(e, string(p.Member.Name))
			}
		}
	}
}

// updateLimits forgets old limits, renews the own lease, fills the permits of this
// issuer and frees the results whose endpoint may be called now.
func (g *Gateway) updateLimits(now time.Time) {
	g.limits.Purge(now)
	g.permits.Purge(now)
	maps.DeleteFunc(g.permits.callPermits, func(_ ident.Endpoint, until time.Time) bool { return !now.Before(until) })
	if !g.leasesShares() && len(g.permits.heldFrees) == 0 {
		return
	}
	if !g.shuttingDown {
		g.renewLease(now)
	}
	g.issuer.Refill(now, g.shareCount(now), g.rateOf)
	g.freeHeldResults(now)
}

// withoutBlocked returns the candidates without those to which no permit is to be had
// now.
func (g *Gateway) withoutBlocked(now time.Time, candidates []*endpoints.Endpoint) []*endpoints.Endpoint {
	if !g.anyLimited(now) {
		return candidates
	}
	return slices.DeleteFunc(slices.Clone(candidates), func(e *endpoints.Endpoint) bool {
		wait, ever := g.sendableIn(now, e)
		return !ever || wait > 0
	})
}

// limitsRefuse reports whether to refuse a request whose stages have not run yet, because
// all endpoints of its service have rate limits that leave no room for it.
func (g *Gateway) limitsRefuse(r *request) bool {
	now := g.now()
	if !g.anyLimited(now) {
		return false
	}
	g.throttle.RecordArrival(now, r.service)
	candidates := g.directory.Candidates(now, r.service, g.outsideBound(r))
	for _, e := range candidates {
		if !g.isLimited(e) {
			return false
		}
	}
	return len(candidates) > 0 && len(r.stages.Services()) > 0 && g.random.Float64() >= g.throttle.AdmittedShare(now, r.service)
}

// shareCount returns the number of equal shares into which the fleet's limits are divided:
// one for each instance that this or another one has heard of lately, running or not, so
// that instances with different views do not claim more than the whole.
func (g *Gateway) shareCount(now time.Time) int {
	return max(g.members.KnownCount(), g.fleetSize.Latest(now), len(g.config.Seeds))
}
