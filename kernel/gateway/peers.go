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
	// pongCacheTTL is how long an answer to pings is used for further ones: a core
	// member of a large fleet gets hundreds of them a second.
	pongCacheTTL = 50 * time.Millisecond
	// fleetReportTTL is how long a core member's word on all running requests is
	// believed.
	fleetReportTTL = 1500 * time.Millisecond
	// maxRunningCounts bounds the endpoints whose running requests are told.
	maxRunningCounts = 128
)

// pingTargets tells other instances what they need to know of this one.
func (g *Gateway) pingTargets() {
	now := g.now()
	targets := g.members.Targets(now)
	if len(targets) == 0 {
		return
	}
	p := g.newPing(now)
	for _, target := range targets {
		g.sendToAddress(target, message.Envelope{Ping: &p})
	}
}

// pingAll tells all known instances.
func (g *Gateway) pingAll() {
	p := g.newPing(g.now())
	for _, target := range g.members.All() {
		g.sendToAddress(target, message.Envelope{Ping: &p})
	}
}

// AnswerPing answers a ping.
func (g *Gateway) AnswerPing(ping message.Ping) message.Envelope {
	now := g.now()
	if g.cachedPong == nil || now.Sub(g.cachedPongAt) >= pongCacheTTL {
		p := g.newPing(now)
		if g.members.Large() && g.members.InCore(now, g.config.Self.Name) {
			p.Living = g.AliveCount()
		}
		g.cachedPong, g.cachedPongAt = &p, now
	}
	answer := *g.cachedPong
	answer.Members = g.members.Sightings(now, ping.Known)
	if answer.Living > 0 && g.reportsFleetTo(now, ping.Member) {
		answer.Fleet = busiest(g.countFleetRequests(now, answer.Running))
	}
	return message.Envelope{From: g.config.Self.Name, Incarnation: g.config.Self.Incarnation, Ping: &answer}
}

// reportsFleetTo reports whether this instance is the one that tells a member of
// the requests that run in the fleet: the first of its data centre.
func (g *Gateway) reportsFleetTo(now time.Time, to membership.Member) bool {
	self := g.config.Self
	return to.DataCentre == self.DataCentre && g.platformReaders(now).Has(self.Name)
}

// busiest bounds the endpoints in one message.
func busiest(running map[ident.Endpoint]int) map[ident.Endpoint]int {
	if len(running) <= maxRunningCounts {
		return running
	}
	names := value.SortedKeys(running)
	slices.SortStableFunc(names, func(x, y ident.Endpoint) int { return cmp.Compare(running[y], running[x]) })
	kept := make(map[ident.Endpoint]int, maxRunningCounts)
	for _, name := range names[:maxRunningCounts] {
		kept[name] = running[name]
	}
	return kept
}

// newPing is what this instance tells the others of itself.
func (g *Gateway) newPing(now time.Time) message.Ping {
	return message.Ping{
		Member:      g.members.Self(),
		Leaving:     g.shuttingDown,
		Known:       g.members.Known(),
		AsOf:        g.records.AsOf(),
		PlatformAge: g.ownContactAge(now),
		Crashes:     g.crashes.latestReports(now),
		Running:     g.countOwnRequests(),
		Batches:     g.ownBatcherStatus(now),
		Unreached:   g.directory.Unreached(now),
	}
}

func (g *Gateway) sendToAddress(to membership.Address, m message.Envelope) {
	m.From = g.config.Self.Name
	m.Incarnation = g.config.Self.Incarnation
	m.To = to.Name
	g.out.SendToPeer(to, m)
}

// sendToMember sends to a member by name. A message to the own instance is handled
// as an event of its own, so that no part is called while it works.
func (g *Gateway) sendToMember(name ident.Instance, m message.Envelope) {
	if name == g.config.Self.Name {
		m.From = name
		g.timers.After(0, func() { g.HandleMessage(m) })
		return
	}
	if address, known := g.members.Address(name); known {
		g.sendToAddress(membership.Address{Name: name, Address: address}, m)
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
		g.batcher.Inherit(m.StageBookings.Booked, inheritedReservationsTTL)
	case m.StageTaken != nil:
		g.handleInputsFetched(*m.StageTaken)
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
	g.peerRequests[p.Member.Name] = p.Running
	if p.Fleet != nil {
		g.fleetRequests, g.fleetRequestsAt = p.Fleet, now
	}
	if p.Living > 0 {
		g.reportedAlive, g.reportedAliveAt = p.Living, now
	}
	g.directory.Told(now, p.Unreached)
	g.crashes.mergeReports(now, p.Crashes)
	g.recordBatcherStatus(now, p.Member.Name, p.Batches)
	g.recordContact(now, p.Member.Name, p.PlatformAge)
	g.sendMissingRecords(now, p.Member, p.AsOf)
}

// HandlePeerFailure takes in that messages to a member could not be delivered.
func (g *Gateway) HandlePeerFailure(name ident.Instance, reason string) {
	if g.members.Alive(g.now(), name) {
		g.out.LogEvent("memberLost", "member", name, "reason", reason)
	}
	g.members.Unreachable(g.now(), name)
	delete(g.peerRequests, name)
	clear(g.batcherCache)
	g.resubmitLostPieces(g.now())
}

// countOwnRequests counts this instance's requests by endpoint.
func (g *Gateway) countOwnRequests() map[ident.Endpoint]int {
	running := map[ident.Endpoint]int{}
	for _, r := range g.requests {
		if r.attempt != nil {
			running[r.attempt.endpoint]++
		}
	}
	return running
}

// countFleetRequests counts the fleet's requests by endpoint, as far as this instance
// has heard of them.
func (g *Gateway) countFleetRequests(now time.Time, own map[ident.Endpoint]int) map[ident.Endpoint]int {
	total := map[ident.Endpoint]int{}
	add := func(counts map[ident.Endpoint]int) {
		for e, n := range counts {
			total[e] += n
		}
	}
	add(own)
	for name, counts := range g.peerRequests {
		if g.members.Alive(now, name) {
			add(counts)
		}
	}
	return total
}

// updatePeerRequests brings the requests that other instances run up to date.
func (g *Gateway) updatePeerRequests(now time.Time) {
	own := g.countOwnRequests()
	total := g.fleetRequests
	outside := g.members.Large() && !g.members.InCore(now, g.config.Self.Name)
	if !outside || now.Sub(g.fleetRequestsAt) > fleetReportTTL {
		total = g.countFleetRequests(now, own)
	}
	for _, s := range value.SortedKeys(g.serviceNames()) {
		for _, e := range g.directory.Listed(s) {
			e.Elsewhere = max(total[e.Name]-own[e.Name], 0)
		}
	}
}

func (g *Gateway) serviceNames() map[ident.Service]struct{} {
	services := map[ident.Service]struct{}{}
	if g.catalog != nil {
		for s := range g.catalog.Services {
			services[s] = struct{}{}
		}
	}
	return services
}
