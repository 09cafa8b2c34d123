package gateway

import (
	"anvilcross/kernel/ident"
	"anvilcross/kernel/membership"
	"anvilcross/kernel/message"
	"anvilcross/kernel/value"
)

// ping tells the other instances what they need to know of this one.
func (g *Gateway) ping() {
	now := g.now()
	p := message.Ping{
		Member:      g.members.Self(),
		Leaving:     g.leaving,
		Members:     g.members.Sample(now),
		AsOf:        g.records.AsOf(),
		PlatformAge: g.contactAge(now),
		Crashes:     g.crashes.latest(now),
		Running:     g.runningByEndpoint(),
		Batches:     g.ownBatching(now),
	}
	for _, target := range g.members.Targets(now) {
		g.send(target, message.Envelope{Ping: &p})
	}
}

func (g *Gateway) send(to membership.Address, m message.Envelope) {
	m.From = g.config.Self.Name
	m.Incarnation = g.config.Self.Incarnation
	m.To = to.Name
	g.out.Peer(to, m)
}

// sendTo sends to a member by name. A message to the own instance is handled
// as an event of its own, so that no part is called while it works.
func (g *Gateway) sendTo(name ident.Instance, m message.Envelope) {
	if name == g.config.Self.Name {
		m.From = name
		g.timers.After(0, func() { g.HandlePeer(m) })
		return
	}
	if address, known := g.members.Address(name); known {
		g.send(membership.Address{Name: name, Address: address}, m)
	}
}

// HandlePeer takes a message from another instance.
func (g *Gateway) HandlePeer(m message.Envelope) {
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
		g.out.Event("memberReached", "member", p.Member.Name, "memberCentre", p.Member.DataCentre, "incarnation", p.Member.Incarnation)
	}
	g.members.Named(now, p.Members)
	g.elsewhere[p.Member.Name] = p.Running
	g.countElsewhere()
	g.crashes.heard(now, p.Crashes)
	g.heardBatching(now, p.Member.Name, p.Batches)
	g.heardContact(now, p.Member.Name, p.PlatformAge)
	g.answerBehind(p.Member.Name, p.AsOf)
}

// PeerFailed takes in that messages to a member could not be delivered.
func (g *Gateway) PeerFailed(name ident.Instance, reason string) {
	if g.members.Alive(g.now(), name) {
		g.out.Event("memberLost", "member", name, "reason", reason)
	}
	g.members.Unreachable(name)
	delete(g.elsewhere, name)
	g.reviewPieces(g.now())
}

func (g *Gateway) runningByEndpoint() map[ident.Endpoint]int {
	running := map[ident.Endpoint]int{}
	for _, r := range g.requests {
		if r.attempt != nil {
			running[r.attempt.endpoint]++
		}
	}
	return running
}

func (g *Gateway) countElsewhere() {
	now := g.now()
	total := map[ident.Endpoint]int{}
	for name, counts := range g.elsewhere {
		if !g.members.Alive(now, name) {
			continue
		}
		for e, n := range counts {
			total[e] += n
		}
	}
	for _, s := range value.SortedKeys(g.services()) {
		for _, e := range g.book.Listed(s) {
			e.Elsewhere = total[e.Name]
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
