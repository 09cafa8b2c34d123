package gateway

import (
	"time"

	"anvilcross/kernel/ident"
	"anvilcross/kernel/message"
	"anvilcross/kernel/published"
	"anvilcross/kernel/value"
)

const (
	// wordPings is for how many pings an instance's word on what it batches
	// for is believed.
	wordPings = 3
	// sameTenure is how close two tenures count as equal: they are measured
	// by messages that are some milliseconds under way.
	sameTenure = 150 * time.Millisecond
	// claimAfter is how long after its start an instance waits before it
	// batches for anybody else: by then it has heard from the others.
	claimAfter = 600 * time.Millisecond
	// bookingsLife is how long the bookings of an earlier batcher count:
	// about the time in which its results are used.
	bookingsLife = 1500 * time.Millisecond
)

// batcherWord is what a member said of a service that it batches for.
type batcherWord struct {
	message.Batching
	at time.Time
}

// heardBatching takes in what a member batches for.
func (g *Gateway) heardBatching(now time.Time, from ident.Instance, batches map[ident.Service]message.Batching) {
	if len(batches) == 0 {
		if _, claimed := g.words[from]; claimed {
			delete(g.words, from)
			clear(g.owners)
		}
		return
	}
	if len(g.words[from]) != len(batches) {
		clear(g.owners)
	}
	words := make(map[ident.Service]batcherWord, len(batches))
	for s, b := range batches {
		words[s] = batcherWord{Batching: b, at: now}
	}
	g.words[from] = words
}

// batcherOf returns the instance that batches for a service, as far as this
// one knows the fleet.
func (g *Gateway) batcherOf(s ident.Service) ident.Instance {
	owner, known := g.owners[s]
	if !known {
		owner = g.findBatcher(s)
		g.owners[s] = owner
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
		longer := tenure > bestTenure+sameTenure
		same := (tenure - bestTenure).Abs() <= sameTenure
		if !found || longer || same && ident.Score(key, string(name)) > ident.Score(key, string(best)) {
			best, bestTenure, found = name, tenure, true
		}
	}
	if since, mine := g.claims[s]; mine && !g.leaving {
		consider(self, now.Sub(since))
	}
	life := g.wordLife()
	for _, name := range value.SortedKeys(g.words) {
		word, claims := g.words[name][s]
		if claims && now.Sub(word.at) <= life && g.members.Alive(now, name) {
			consider(name, word.Tenure+now.Sub(word.at))
		}
	}
	if found {
		return best
	}
	return first
}

// wordLife is how long an instance's word on what it batches for is believed.
func (g *Gateway) wordLife() time.Duration { return wordPings * g.members.Period() }

// reviewBatching claims the services that this instance batches for, and hands
// over those that another one does.
func (g *Gateway) reviewBatching(now time.Time) {
	for _, s := range value.SortedKeys(g.services()) {
		if g.batches(s) == nil {
			continue
		}
		owner := g.batcherOf(s)
		_, mine := g.claims[s]
		switch {
		case owner == g.config.Self.Name && !mine && !g.leaving && now.Sub(g.startedAt) >= claimAfter:
			g.claims[s] = now
			clear(g.owners)
			g.out.LogEvent("batchingBegun", "service", s, "members", g.AliveCount())
		case owner != g.config.Self.Name && mine:
			delete(g.claims, s)
			clear(g.owners)
			g.out.LogEvent("batchingHandedOver", "service", s, "to", owner, "waiting", g.batcher.Waiting(s))
			g.handOver(s, owner)
		}
	}
}

// handOver lets the origins send what waits here to the new batcher, and tells
// it of the room that is booked.
func (g *Gateway) handOver(s ident.Service, to ident.Instance) {
	g.sendTo(to, message.Envelope{StageBookings: &message.StageBookings{Service: s, Booked: g.batcher.Booked(s)}})
	g.batcher.HandOver(s)
}

// ownBatching returns what this instance tells of its services.
func (g *Gateway) ownBatching(now time.Time) map[ident.Service]message.Batching {
	if g.leaving {
		return nil
	}
	batches := map[ident.Service]message.Batching{}
	for s, since := range g.claims {
		batches[s] = message.Batching{Wait: g.batcher.Backlog(s), Tenure: now.Sub(since)}
	}
	return batches
}

// backlog returns the wait at a service, or zero if nobody has told it lately.
func (g *Gateway) backlog(s ident.Service) time.Duration {
	owner := g.batcherOf(s)
	if owner == g.config.Self.Name {
		return g.batcher.Backlog(s)
	}
	return g.words[owner][s].Wait
}

func (g *Gateway) batches(s ident.Service) *published.Batches {
	if g.catalog == nil || g.catalog.Services[s] == nil {
		return nil
	}
	return g.catalog.Services[s].Batches
}
