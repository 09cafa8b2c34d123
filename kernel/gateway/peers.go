package gateway

import (
	"cmp"
	"slices"
	"time"

	"anvilcross/kernel/ident"
	"anvilcross/kernel/membership"
	"anvilcross/kernel/message"
	"anvilcross/kernel/value"
)

const (
	// pongLife is how long an answer to pings is used for further ones: a core
	// member of a large fleet gets hundreds of them a second.
	pongLife = 50 * time.Millisecond
	// fleetLife is how long a core member's word on all running requests is
	// believed.
	fleetLife = 1500 * time.Millisecond
	// maxCounts bounds the endpoints whose running requests are told.
	maxCounts = 128
)

// ping tells other instances what they need to know of this one.
func (g *Gateway) ping() {
	now := g.now()
	targets := g.members.Targets(now)
	if len(targets) == 0 {
		return
	}
	p := g.status(now)
	for _, target := range targets {
		g.send(target, message.Envelope{Ping: &p})
	}
}

// pingAll tells all known instances.
func (g *Gateway) pingAll() {
	p := g.status(g.now())
	for _, target := range g.members.All() {
		g.send(target, message.Envelope{Ping: &p})
	}
}

// AnswerPing answers a ping.
func (g *Gateway) AnswerPing(ping message.Ping) message.Envelope {
	now := g.now()
	if g.pong == nil || now.Sub(g.pongAt) >= pongLife {
		p := g.status(now)
		if g.members.Large() && g.members.InCore(now, g.config.Self.Name) {
			p.Living = g.AliveCount()
		}
		g.pong, g.pongAt = &p, now
	}
	answer := *g.pong
	answer.Members = g.members.Sightings(now, ping.Known)
	if answer.Living > 0 && g.tellsFleet(now, ping.Member) {
		answer.Fleet = busiest(g.fleetRunning(now, answer.Running))
	}
	return message.Envelope{From: g.config.Self.Name, Incarnation: g.config.Self.Incarnation, Ping: &answer}
}

// tellsFleet reports whether this instance is the one that tells a member of
// the requests that run in the fleet: the first of its data centre.
func (g *Gateway) tellsFleet(now time.Time, to membership.Member) bool {
	self := g.config.Self
	return to.DataCentre == self.DataCentre && g.readers(now).Has(self.Name)
}

// busiest bounds the endpoints in one message.
func busiest(running map[ident.Endpoint]int) map[ident.Endpoint]int {
	if len(running) <= maxCounts {
		return running
	}
	names := value.SortedKeys(running)
	slices.SortStableFunc(names, func(x, y ident.Endpoint) int { return cmp.Compare(running[y], running[x]) })
	kept := make(map[ident.Endpoint]int, maxCounts)
	for _, name := range names[:maxCounts] {
		kept[name] = running[name]
	}
	return kept
}

// status is what this instance tells the others of itself.
func (g *Gateway) status(now time.Time) message.Ping {
	return message.Ping{
		Member:      g.members.Self(),
		Leaving:     g.leaving,
		Known:       g.members.Known(),
		AsOf:        g.records.AsOf(),
		PlatformAge: g.contactAge(now),
		Crashes:     g.crashes.latest(now),
		Running:     g.ownRunning(),
		Batches:     g.ownBatching(now),
		Unreached:   g.book.Unreached(now),
	}
}

func (g *Gateway) send(to membership.Address, m message.Envelope) {
	m.From = g.config.Self.Name
	m.Incarnation = g.config.Self.Incarnation
	m.To = to.Name
	g.out.SendToPeer(to, m)
}

// sendTo sends to a member by name. A message to the own instance is handled
// as an event of its own, so that no part is called while it works.
func (g *Gateway) sendTo(name ident.Instance, m message.Envelope) {
	if name == g.config.Self.Name {
		m.From = name
		g.timers.After(0, func() { g.HandleMessage(m) })
		return
	}
	if address, known := g.members.Address(name); known {
		g.send(membership.Address{Name: name, Address: address}, m)
	}
}

// HandleMessage takes a message from another instance.
func (g *Gateway) HandleMessage(m message.Envelope) {
	switch {
	case m.Ping != nil:
		g.handlePing(*m.Ping)
	case m.Records != nil:
		g.handleRecords(m.From, *m.Records)
	case m.StageWork != nil:
		g.batcher.Submit(m.From, *m.StageWork)
	case m.StageResults != nil:
		g.handleResults(*m.StageResults)
	case m.StageBookings != nil:
		g.batcher.Inherit(m.StageBookings.Booked, bookingsLife)
	case m.StageTaken != nil:
		g.handleTaken(*m.StageTaken)
	case m.StageRelease != nil:
		g.batcher.Release(*m.StageRelease)
	}
}

func (g *Gateway) handlePing(p message.Ping) {
	now := g.now()
	if g.members.Heard(now, p.Member, p.Leaving) {
		g.out.LogEvent("memberReached", "member", p.Member.Name, "memberCentre", p.Member.DataCentre, "incarnation", p.Member.Incarnation)
	}
	g.members.Sighted(now, p.Members)
	g.elsewhere[p.Member.Name] = p.Running
	if p.Fleet != nil {
		g.fleet, g.fleetAt = p.Fleet, now
	}
	if p.Living > 0 {
		g.told, g.toldAt = p.Living, now
	}
	g.book.Told(now, p.Unreached)
	g.crashes.heard(now, p.Crashes)
	g.heardBatching(now, p.Member.Name, p.Batches)
	g.heardContact(now, p.Member.Name, p.PlatformAge)
	g.answerBehind(now, p.Member, p.AsOf)
}

// HandlePeerFailure takes in that messages to a member could not be delivered.
func (g *Gateway) HandlePeerFailure(name ident.Instance, reason string) {
	if g.members.Alive(g.now(), name) {
		g.out.LogEvent("memberLost", "member", name, "reason", reason)
	}
	g.members.Unreachable(g.now(), name)
	delete(g.elsewhere, name)
	clear(g.owners)
	g.reviewPieces(g.now())
}

// ownRunning counts this instance's requests by endpoint.
func (g *Gateway) ownRunning() map[ident.Endpoint]int {
	running := map[ident.Endpoint]int{}
	for _, r := range g.requests {
		if r.attempt != nil {
			running[r.attempt.endpoint]++
		}
	}
	return running
}

// fleetRunning counts the fleet's requests by endpoint, as far as this instance
// has heard of them.
func (g *Gateway) fleetRunning(now time.Time, own map[ident.Endpoint]int) map[ident.Endpoint]int {
	total := map[ident.Endpoint]int{}
	add := func(counts map[ident.Endpoint]int) {
		for e, n := range counts {
			total[e] += n
		}
	}
	add(own)
	for name, counts := range g.elsewhere {
		if g.members.Alive(now, name) {
			add(counts)
		}
	}
	return total
}

// countElsewhere brings the requests that other instances run up to date.
func (g *Gateway) countElsewhere(now time.Time) {
	own := g.ownRunning()
	total := g.fleet
	outside := g.members.Large() && !g.members.InCore(now, g.config.Self.Name)
	if !outside || now.Sub(g.fleetAt) > fleetLife {
		total = g.fleetRunning(now, own)
	}
	for _, s := range value.SortedKeys(g.services()) {
		for _, e := range g.book.Listed(s) {
			e.Elsewhere = max(total[e.Name]-own[e.Name], 0)
		}
	}
}

func (g *Gateway) services() map[ident.Service]struct{} {
	services := map[ident.Service]struct{}{}
	if g.catalog != nil {
		for s := range g.catalog.Services {
			services[s] = struct{}{}
		}
	}
	return services
}
