package gateway

import (
	"maps"
	"time"

	"anvilcross/kernel/endpoints"
	"anvilcross/kernel/eras"
	"anvilcross/kernel/ident"
	"anvilcross/kernel/membership"
	"anvilcross/kernel/message"
	"anvilcross/kernel/published"
	"anvilcross/kernel/replica"
	"anvilcross/kernel/value"
)

const (
	// outdatedListingTime is how long a listing of an earlier era's content is not used.
	// By then the endpoint has written its entry again, or the entry has expired.
	outdatedListingTime = 8 * time.Second
	// departureRetention is how long it is remembered that an endpoint has left.
	departureRetention = 2 * time.Minute
	// carryInterval is the least time between two messages with what an earlier era said
	// to the same member.
	carryInterval = 500 * time.Millisecond
)

// applyListing applies what the store says of an endpoint, and reports whether it was
// used: an outdated listing is held back for a while.
func (g *Gateway) applyListing(l endpoints.Listing, r replica.Revision, source string) bool {
	now := g.now()
	if k, known := g.eras.Known[l.Name]; known && eras.IsOutdated(l, r.Era(), k.CarriedEndpoint) {
		g.holdListing(l, r, source)
		return false
	}
	g.eras.RecordListing(now, l, r)
	old := g.directory.Lookup(l.Name)
	isNew := g.directory.Upsert(l)
	g.listWarmup(l)
	if isNew && old != nil {
		g.recordEndpointGone(old)
	}
	if isNew || l.Leaving {
		g.out.LogEvent("endpointListed", "endpoint", l.Name, "service", l.Service, "leaving", l.Leaving, "revision", r, "source", source)
	}
	return true
}

// applyRemoval applies the removal of an endpoint's entry.
func (g *Gateway) applyRemoval(name ident.Endpoint, r replica.Revision, source string, unconfirmedFor time.Duration) {
	g.eras.RecordRemoval(g.now(), name, r)
	e := g.directory.Lookup(name)
	if e == nil && g.departures.Begun() {
		g.departures.RecordUnidentified(g.now(), name)
	}
	if e != nil {
		g.recordEndpointGone(e)
		g.out.LogEvent("endpointRemoved", "endpoint", name, "revision", r, "source", source, "unconfirmed", unconfirmedFor > 0)
	}
	g.directory.Remove(g.now(), name, unconfirmedFor)
}

// settleListings uses the outdated listings that are still there after a while: their
// endpoints renew them.
func (g *Gateway) settleListings(now time.Time) {
	for _, name := range value.SortedKeys(g.eras.Held) {
		h := g.eras.Held[name]
		if now.Before(h.Until) {
			continue
		}
		delete(g.eras.Known, name)
		g.applyListing(h.Listing, h.Revision, h.Source)
		g.poolCache = nil
	}
	maps.DeleteFunc(g.eras.CarriedAt, func(_ ident.Instance, at time.Time) bool { return now.Sub(at) > carryInterval })
	g.eras.Expire(now, departureRetention)
}

// applyConfiguration puts a configuration in force if its version is higher than that of
// the current one.
func (g *Gateway) applyConfiguration(c *published.Catalog, r replica.Record, source string) {
	if g.catalog != nil && c.Version < g.catalog.Version {
		g.out.LogEvent("configurationIgnored", "version", c.Version, "inForce", g.catalog.Version, "revision", r.Revision, "source", source)
		return
	}
	if g.catalog != nil && c.Version == g.catalog.Version {
		g.eras.Configuration.Revision = max(g.eras.Configuration.Revision, r.Revision)
		return
	}
	g.eras.Configuration = r
	g.catalog = c
	g.out.LogEvent("configured", "version", c.Version, "revision", r.Revision, "source", source, "behindFor", g.behindFor(g.now()), "routes", len(c.Routes), "workspaces", len(c.Workspaces))
}

// version returns the version of the configuration in force, or zero.
func (g *Gateway) version() int64 {
	if g.catalog == nil {
		return 0
	}
	return g.catalog.Version
}

// sendCarried sends a member what only earlier eras said, if it is new or has an older
// configuration: the store does not tell it.
func (g *Gateway) sendCarried(now time.Time, m membership.Member, isNew bool, version int64) {
	if g.records.AsOf().Era() == 0 || !isNew && version >= g.version() || now.Sub(g.eras.CarriedAt[m.Name]) < carryInterval {
		return
	}
	if c := g.eras.Carried(g.records.AsOf().Era()); c != nil {
		g.eras.CarriedAt[m.Name] = now
		g.sendToMember(m.Name, message.Envelope{Records: &message.Records{Carried: c}})
	}
}

// applyCarried applies what another member knows of earlier eras of the store.
func (g *Gateway) applyCarried(c message.Carried, source string) {
	now := g.now()
	if r := c.Configuration; r != nil {
		if decoded, err := g.config.DecodeRecord(*r); err == nil && decoded.Catalog != nil {
			g.applyConfiguration(decoded.Catalog, *r, source)
		}
	}
	for _, name := range value.SortedKeys(c.Endpoints) {
		before := c.Endpoints[name]
		k, known := g.eras.Known[name]
		e := g.directory.Lookup(name)
		switch {
		case !known:
			g.eras.Known[name] = eras.KnownListing{CarriedEndpoint: before, At: now}
		case e != nil && eras.IsOutdated(e.Listing, k.Era, before):
			g.eras.Known[name] = eras.KnownListing{CarriedEndpoint: before, At: now}
			g.holdListing(e.Listing, k.Revision, source)
			g.directory.Remove(now, name, 0)
		}
	}
}

// holdListing keeps an outdated listing for later.
func (g *Gateway) holdListing(l endpoints.Listing, r replica.Revision, source string) {
	g.eras.Held[l.Name] = eras.HeldListing{Listing: l, Revision: r, Source: source, Until: g.now().Add(outdatedListingTime)}
	g.out.LogEvent("listingOutdated", "endpoint", l.Name, "revision", r, "source", source, "knownEra", g.eras.Known[l.Name].Era)
}
