package gateway

import (
	"time"

	"anvilcross/kernel/ident"
	"anvilcross/kernel/message"
	"anvilcross/kernel/published"
	"anvilcross/kernel/value"
)

const (
	// batcherStatusPings is for how many pings an instance's word on what it batches
	// for is believed.
	batcherStatusPings = 3
	// tenureTolerance is how close two tenures count as equal: they are measured
	// by messages that are some milliseconds under way.
	tenureTolerance = 150 * time.Millisecond
	// batchingClaimDelay is how long after its start an instance waits before it
	// batches for anybody else: by then it has heard from the others.
	batchingClaimDelay = 600 * time.Millisecond
	// inheritedReservationsTTL is how long the bookings of an earlier batcher count:
	// about the time in which its results are used.
	inheritedReservationsTTL = 1500 * time.Millisecond
)

// batcherStatus is what a member said of a service that it batches for.
type batcherStatus struct {
	message.Batching
	at time.Time
}

// recordBatcherStatus takes in what a member batches for.
func (g *Gateway) recordBatcherStatus(now time.Time, from ident.Instance, batches map[ident.Service]message.Batching) {
	if len(batches) == 0 {
		if _, claimed := g.batcherStatuses[from]; claimed {
			delete(g.batcherStatuses, from)
			clear(g.batcherCache)
		}
		return
	}
	if len(g.batcherStatuses[from]) != len(batches) {
		clear(g.batcherCache)
	}
	words := make(map[ident.Service]batcherStatus, len(batches))
	for s, b := range batches {
		words[s] = batcherStatus{Batching: b, at: now}
	}
	g.batcherStatuses[from] = words
}

// batcherOf returns the instance that batches for a service, as far as this
// one knows the fleet.
func (g *Gateway) batcherOf(s ident.Service) ident.Instance {
	owner, known := g.batcherCache[s]
	if !known {
		owner = g.findBatcher(s)
		g.batcherCache[s] = owner
	}
	return owner
}

// findBatcher finds the core member that batches for a service: of those with
// the most capacity the one that has done so for longest, so that an instance
// that joins does not move the work; without any, the one with the highest
// rendezvous score.
func (g *Gateway) findBatcher(s ident.Service) ident.Instance {
	now := g.now()
	self := g.config.Self.Name
	key := "batcher/" + string(s)
	first := g.members.Owner(now, key)
	class := g.members.Class(first)
	best, bestTenure, found := ident.Instance(""), time.Duration(0), false
	consider := func(name ident.Instance, tenure time.Duration) {
		if g.members.Class(name) < class || !g.members.InCore(now, name) {
			return
		}
		longer := tenure > bestTenure+tenureTolerance
		same := (tenure - bestTenure).Abs() <= tenureTolerance
		if !found || longer || same && ident.Score(key, string(name)) > ident.Score(key, string(best)) {
			best, bestTenure, found = name, tenure, true
		}
	}
	if since, mine := g.batchingSince[s]; mine && !g.shuttingDown {
		consider(self, now.Sub(since))
	}
	life := g.batcherStatusTTL()
	for _, name := range value.SortedKeys(g.batcherStatuses) {
		word, claims := g.batcherStatuses[name][s]
		if claims && now.Sub(word.at) <= life && g.members.Alive(now, name) {
			consider(name, word.Tenure+now.Sub(word.at))
		}
	}
	if found {
		return best
	}
	return first
}

// batcherStatusTTL is how long an instance's word on what it batches for is believed.
func (g *Gateway) batcherStatusTTL() time.Duration { return batcherStatusPings * g.members.Period() }

// updateBatchingClaims claims the services that this instance batches for, and hands
// over those that another one does.
func (g *Gateway) updateBatchingClaims(now time.Time) {
	for _, s := range value.SortedKeys(g.serviceNames()) {
		if g.batchesOf(s) == nil {
			continue
		}
		owner := g.batcherOf(s)
		_, mine := g.batchingSince[s]
		switch {
		case owner == g.config.Self.Name && !mine && !g.shuttingDown && now.Sub(g.startedAt) >= batchingClaimDelay:
			g.batchingSince[s] = now
			clear(g.batcherCache)
			g.out.LogEvent("batchingBegun", "service", s, "members", g.AliveCount())
		case owner != g.config.Self.Name && mine:
			delete(g.batchingSince, s)
			clear(g.batcherCache)
			g.out.LogEvent("batchingHandedOver", "service", s, "to", owner, "waiting", g.batcher.Waiting(s))
			g.handOver(s, owner)
		}
	}
}

// handOver lets the origins send what waits here to the new batcher, and tells
// it of the room that is booked.
func (g *Gateway) handOver(s ident.Service, to ident.Instance) {
	g.sendToMember(to, message.Envelope{StageBookings: &message.StageBookings{Service: s, Booked: g.batcher.Booked(s)}})
	g.batcher.HandOver(s)
}

// ownBatcherStatus returns what this instance tells of its services.
func (g *Gateway) ownBatcherStatus(now time.Time) map[ident.Service]message.Batching {
	if g.shuttingDown {
		return nil
	}
	batches := map[ident.Service]message.Batching{}
	for s, since := range g.batchingSince {
		batches[s] = message.Batching{Wait: g.batcher.Backlog(s), Tenure: now.Sub(since)}
	}
	return batches
}

// queueWait returns the wait at a service, or zero if nobody has told it lately.
func (g *Gateway) queueWait(s ident.Service) time.Duration {
	owner := g.batcherOf(s)
	if owner == g.config.Self.Name {
		return g.batcher.Backlog(s)
	}
	return g.batcherStatuses[owner][s].Wait
}

func (g *Gateway) batchesOf(s ident.Service) *published.Batches {
	if g.catalog == nil || g.catalog.Services[s] == nil {
		return nil
	}
	return g.catalog.Services[s].Batches
}
