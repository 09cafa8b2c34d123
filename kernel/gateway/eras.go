package gateway

import (
	"maps"
	"time"

	"anvilcross/kernel/endpoints"
	"anvilcross/kernel/ident"
	"anvilcross/kernel/membership"
	"anvilcross/kernel/message"
	"anvilcross/kernel/published"
	"anvilcross/kernel/replica"
	"anvilcross/kernel/value"
)

// After the platform's store was restored from a copy, it lists what it had then: a
// configuration that is older than the one in force, and endpoints that have left since.
// Revisions tell the age of content only within an era of the store. Between eras, a
// configuration's version does, and an endpoint's start time and sequence number.

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

// knownListing is the latest that the store said of an endpoint in any era.
type knownListing struct {
	message.CarriedEndpoint
	revision replica.Revision
	at       time.Time
}

// heldListing is a listing that is not used yet.
type heldListing struct {
	listing  endpoints.Listing
	revision replica.Revision
	source   string
	until    time.Time
}

// eraTracker keeps what earlier eras of the store said.
type eraTracker struct {
	known map[ident.Endpoint]knownListing
	held  map[ident.Endpoint]heldListing
	// configuration is the record of the configuration in force, with the latest
	// revision at which the store had it.
	configuration replica.Record
	// carriedAt holds when members were last sent what earlier eras said.
	carriedAt map[ident.Instance]time.Time
}

func newEraTracker() *eraTracker {
	return &eraTracker{known: map[ident.Endpoint]knownListing{}, held: map[ident.Endpoint]heldListing{}, carriedAt: map[ident.Instance]time.Time{}}
}

// isOutdated reports whether a listing of an era would bring back what is known of an
// earlier one to be over: an endpoint that has left, or an earlier process.
func isOutdated(l endpoints.Listing, era replica.Era, k message.CarriedEndpoint) bool {
	if k.Era >= era || l.StartedUnixMillis > k.StartedUnixMillis {
		return false
	}
	if l.StartedUnixMillis < k.StartedUnixMillis {
		return true
	}
	return l.Sequence <= k.Sequence && (k.Removed || k.Leaving && !l.Leaving)
}

// recordListing records what the store says of an endpoint at a revision.
func (t *eraTracker) recordListing(now time.Time, l endpoints.Listing, r replica.Revision) {
	delete(t.held, l.Name)
	t.known[l.Name] = knownListing{at: now, revision: r, CarriedEndpoint: message.CarriedEndpoint{Era: r.Era(), StartedUnixMillis: l.StartedUnixMillis, Sequence: l.Sequence, Leaving: l.Leaving}}
}

// recordRemoval records that the store has removed an endpoint's entry at a revision.
func (t *eraTracker) recordRemoval(now time.Time, name ident.Endpoint, r replica.Revision) {
	delete(t.held, name)
	k := t.known[name]
	k.Era, k.Removed, k.revision, k.at = r.Era(), true, r, now
	t.known[name] = k
}

// applyListing applies what the store says of an endpoint, and reports whether it was
// used: an outdated listing is held back for a while.
func (g *Gateway) applyListing(l endpoints.Listing, r replica.Revision, source string) bool {
	now := g.now()
	if k, known := g.eras.known[l.Name]; known && isOutdated(l, r.Era(), k.CarriedEndpoint) {
		g.holdListing(l, r, source)
		return false
	}
	g.eras.recordListing(now, l, r)
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
	g.eras.recordRemoval(g.now(), name, r)
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
	for _, name := range value.SortedKeys(g.eras.held) {
		h := g.eras.held[name]
		if now.Before(h.until) {
			continue
		}
		delete(g.eras.known, name)
		g.applyListing(h.listing, h.revision, h.source)
		g.poolCache = nil
	}
	maps.DeleteFunc(g.eras.carriedAt, func(_ ident.Instance, at time.Time) bool { return now.Sub(at) > carryInterval })
	maps.DeleteFunc(g.eras.known, func(_ ident.Endpoint, k knownListing) bool {
		return k.Removed && now.Sub(k.at) > departureRetention
	})
}

// applyConfiguration puts a configuration in force if its version is higher than that of
// the current one.
func (g *Gateway) applyConfiguration(c *published.Catalog, r replica.Record, source string) {
	if g.catalog != nil && c.Version < g.catalog.Version {
		g.out.LogEvent("configurationIgnored", "version", c.Version, "inForce", g.catalog.Version, "revision", r.Revision, "source", source)
		return
	}
	if g.catalog != nil && c.Version == g.catalog.Version {
		g.eras.configuration.Revision = max(g.eras.configuration.Revision, r.Revision)
		return
	}
	g.eras.configuration = r
	g.catalog = c
	g.out.LogEvent("configured", "version", c.Version, "revision", r.Revision, "source", source, "routes", len(c.Routes), "workspaces", len(c.Workspaces))
}

// version returns the version of the configuration in force, or zero.
func (g *Gateway) version() int64 {
	if g.catalog == nil {
		return 0
	}
	return g.catalog.Version
}

// carried returns what earlier eras of the store said that its present one does not
// replace, or nil if there is nothing.
func (g *Gateway) carried() *message.Carried {
	era := g.records.AsOf().Era()
	c := message.Carried{}
	if r := g.eras.configuration; g.catalog != nil && r.Revision.Era() < era {
		c.Configuration = &r
	}
	for name, k := range g.eras.known {
		if k.Era < era && (k.Removed || k.Leaving) {
			if c.Endpoints == nil {
				c.Endpoints = map[ident.Endpoint]message.CarriedEndpoint{}
			}
			c.Endpoints[name] = k.CarriedEndpoint
		}
	}
	if c.Configuration == nil && c.Endpoints == nil {
		return nil
	}
	return &c
}

// sendCarried sends a member what only earlier eras said, if it is new or has an older
// configuration: the store does not tell it.
func (g *Gateway) sendCarried(now time.Time, m membership.Member, isNew bool, version int64) {
	if g.records.AsOf().Era() == 0 || !isNew && version >= g.version() || now.Sub(g.eras.carriedAt[m.Name]) < carryInterval {
		return
	}
	if c := g.carried(); c != nil {
		g.eras.carriedAt[m.Name] = now
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
		k, known := g.eras.known[name]
		e := g.directory.Lookup(name)
		switch {
		case !known:
			g.eras.known[name] = knownListing{CarriedEndpoint: before, at: now}
		case e != nil && isOutdated(e.Listing, k.Era, before):
			g.eras.known[name] = knownListing{CarriedEndpoint: before, at: now}
			g.holdListing(e.Listing, k.revision, source)
			g.directory.Remove(now, name, 0)
		}
	}
}

// holdListing keeps an outdated listing for later.
func (g *Gateway) holdListing(l endpoints.Listing, r replica.Revision, source string) {
	g.eras.held[l.Name] = heldListing{listing: l, revision: r, source: source, until: g.now().Add(outdatedListingTime)}
	g.out.LogEvent("listingOutdated", "endpoint", l.Name, "revision", r, "source", source, "knownEra", g.eras.known[l.Name].Era)
}
