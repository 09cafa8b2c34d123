package gateway

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"anvilcross/kernel/ident"
	"anvilcross/kernel/membership"
	"anvilcross/kernel/message"
	"anvilcross/kernel/value"
)

const (
	// pongCacheTTL is how long an answer to a ping is reused for further pings:
	// a core member of a large fleet receives hundreds of them per second.
	pongCacheTTL = 50 * time.Millisecond
	// fleetReportTTL is how long a core member's report on the alive instances
	// and on the running requests of the whole fleet is valid.
	fleetReportTTL = 1500 * time.Millisecond
	// coreDigestRounds is the number of rounds of pings of which one carries the
	// digest of the core, which differs only for a while after changes.
	coreDigestRounds = 4
	// maxRunningCounts limits the endpoints in one report on the running
	// requests of the fleet.
	maxRunningCounts = 128
)

// pingTargets pings the members that are due for a ping.
func (g *Gateway) pingTargets() {
	now := g.now()
	g.updateStandby(now)
	targets := g.members.PingTargets(now)
	if len(targets) == 0 {
		return
	}
	p := g.newPing(now)
	g.pingRounds++
	if g.members.IsLarge() && g.pingRounds%coreDigestRounds == 0 {
		p.CoreDigest = g.members.CoreDigest(now)
	}
	for _, target := range targets {
		g.sendToAddress(target, message.Envelope{Ping: &p})
	}
}

// pingAll pings all known instances.
func (g *Gateway) pingAll() {
	p := g.newPing(g.now())
	for _, target := range g.members.AllAddresses() {
		g.sendToAddress(target, message.Envelope{Ping: &p})
	}
}

// AnswerPing returns the answer to a ping. The content of the ping itself is
// passed to HandleMessage.
func (g *Gateway) AnswerPing(ping message.Ping) message.Envelope {
	now := g.now()
	if g.cachedPong == nil || now.Sub(g.cachedPongAt) >= pongCacheTTL {
		p := g.newPing(now)
		if g.members.IsLarge() && g.members.InCore(now, g.config.Self.Name) {
			p.AliveCount = g.AliveCount()
		}
		g.cachedPong, g.cachedPongAt = &p, now
	}
	pong := *g.cachedPong
	pong.Members = g.members.GossipEntries(now, ping.KnownCount, ping.CoreDigest)
	if pong.AliveCount > 0 && g.reportsFleetTo(now, ping.Member) {
		pong.FleetRequests = busiest(g.countFleetRequests(now, pong.OwnRequests))
		pong.SpeedRatios = g.placement.DrawRatios(now)
	}
	return message.Envelope{From: g.config.Self.Name, Incarnation: g.config.Self.Incarnation, Ping: &pong}
}

// reportsFleetTo reports whether this instance tells a member how many requests
// run in the whole fleet. The readers of the platform do so for the members of
// their own data centre.
func (g *Gateway) reportsFleetTo(now time.Time, to membership.Member) bool {
	self := g.config.Self
	return to.DataCentre == self.DataCentre && g.platformReaders(now).Has(self.Name)
}

// busiest returns the counts of the endpoints with the most running requests,
// at most maxRunningCounts.
func busiest(counts map[ident.Endpoint]int) map[ident.Endpoint]int {
	if len(counts) <= maxRunningCounts {
		return counts
	}
	names := value.SortedKeys(counts)
	slices.SortStableFunc(names, func(x, y ident.Endpoint) int { return cmp.Compare(counts[y], counts[x]) })
	kept := make(map[ident.Endpoint]int, maxRunningCounts)
	for _, name := range names[:maxRunningCounts] {
		kept[name] = counts[name]
	}
	return kept
}

// newPing returns a ping with the state of this instance.
func (g *Gateway) newPing(now time.Time) message.Ping {
	p := message.Ping{
		Member:              g.members.Self(),
		Leaving:             g.shuttingDown,
		KnownCount:          g.members.KnownCount(),
		AsOf:                g.records.AsOf(),
		Version:             g.version(),
		PlatformContactAge:  g.ownContactAge(now),
		CrashReports:        g.crashes.latestReports(now),
		OwnRequests:         g.countOwnRequests(),
		BatcherStatuses:     g.ownBatcherStatus(now),
		RecentlyUnreachable: g.recentlyUnreachable(now),
		LostServices:        g.paths.LostServices(),
		PathMembers:         g.pathMembers(now),
		LostDataCentres:     g.members.NoticedPartitions(),
		Speeds:              g.placement.Reports(now),
	}
	g.addPartNews(now, &p)
	g.addLimits(now, &p)
	g.addNotices(now, &p)
	return p
}

// sendToAddress fills in sender and receiver and sends the message.
func (g *Gateway) sendToAddress(to membership.PeerAddress, m message.Envelope) {
	m.From = g.config.Self.Name
	m.Incarnation = g.config.Self.Incarnation
	m.To = to.Name
	g.out.SendToPeer(to, m)
}

// sendToMember sends a message to a member by name; it is dropped if the
// member's address is unknown. A message to this instance itself is handled as
// a later event, so that neither the gateway nor the batcher is re-entered.
func (g *Gateway) sendToMember(name ident.Instance, m message.Envelope) {
	if name == g.config.Self.Name {
		m.From = name
		g.timers.After(0, func() { g.HandleMessage(m) })
		return
	}
	if address, known := g.members.Address(name); known {
		g.sendToAddress(membership.PeerAddress{Name: name, Address: address}, m)
	}
}

// HandleMessage handles a message from another instance. It logs and ignores one
// that has invalid values.
func (g *Gateway) HandleMessage(m message.Envelope) {
	if err := m.CheckGateway(); err != nil {
		g.counters.MessagesRejected++
		g.out.LogEvent("messageRejected", "member", m.From, "incarnation", m.Incarnation, "reason", err)
		return
	}
	if m.Ping == nil {
		g.members.RecordHeard(g.now(), m.From, m.Incarnation)
	}
	switch {
	case m.Ping != nil:
		g.handlePing(*m.Ping)
	case m.Records != nil:
		g.handleRecords(m.From, *m.Records)
	case m.RecordsRequest != nil:
		g.sendRecordsAbove(m.From, m.RecordsRequest.Above)
	case m.StageWork != nil:
		g.handleStageWork(m.From, *m.StageWork)
	case m.StageResults != nil:
		g.handleResults(m.From, *m.StageResults)
	case m.StageReservations != nil:
		g.batcher.AdoptReservations(m.StageReservations.ReservedBytes, inheritedReservationsTTL)
	case m.StageInputsFetched != nil:
		g.handleInputsFetched(m.From, *m.StageInputsFetched)
	case m.StageRelease != nil:
		g.batcher.HandleRelease(*m.StageRelease)
	case m.StageWithdrawal != nil:
		g.batcher.Withdraw(m.From, *m.StageWithdrawal)
	case m.PermitRequest != nil:
		g.handlePermitRequest(m.From, *m.PermitRequest)
	case m.PermitReply != nil:
		g.handlePermitReply(*m.PermitReply)
	case m.PlacementRequest != nil:
		g.handlePlacementRequest(m.From, *m.PlacementRequest)
	case m.PlacementReply != nil:
		g.placement.HandleReply(*m.PlacementReply)
	case m.StreamOrigins != nil:
		g.recordOrigins(m.StreamOrigins.Streams)
	case m.OriginRequest != nil:
		g.handleOriginRequest(m.From, *m.OriginRequest)
	case m.OriginReply != nil:
		g.handleOriginReply(m.From, *m.OriginReply)
	}
}

// handlePing stores what a member reports in a ping or in the answer to one.
func (g *Gateway) handlePing(p message.Ping) {
	now := g.now()
	isNew := g.members.RecordPing(now, p.Member, p.Leaving)
	if isNew {
		g.out.LogEvent("memberReached", "member", p.Member.Name, "memberCentre", p.Member.DataCentre, "incarnation", p.Member.Incarnation)
	}
	g.members.RecordPartitions(now, p.Member, p.LostDataCentres)
	g.updatePartitions(now)
	g.members.MergeGossip(now, p.Members)
	g.peerRequests[p.Member.Name] = p.OwnRequests
	if p.FleetRequests != nil {
		g.fleetRequests, g.fleetRequestsAt = p.FleetRequests, now
	}
	if p.AliveCount > 0 {
		g.reportedAlive, g.reportedAliveAt = p.AliveCount, now
	}
	g.directory.MergeUnreachable(now, p.RecentlyUnreachable)
	g.mergeReports(now, p)
	g.mergePartNews(now, p)
	g.mergeLimits(now, p)
	g.mergeNotices(now, p)
	g.placement.Merge(now, p.Member.Name, p.Speeds, p.SpeedRatios)
	g.recordPathReport(now, p.Member.Name, p.LostServices)
	if len(p.PathMembers) > 0 {
		g.reportedPathMembers, g.pathMembersAt = value.NewSet(p.PathMembers...), now
	}
	g.recordBatcherStatus(now, p.Member.Name, p.BatcherStatuses)
	g.recordContact(now, p.Member.Name, p.PlatformContactAge)
	if p.AsOf > 0 && g.recordsOfferedAt.IsZero() {
		g.recordsOfferedAt = now
	}
	g.noticeNewerRecords(now, p.Member, p.AsOf)
	g.sendMissingRecords(now, p.Member, p.AsOf)
	g.sendCarried(now, p.Member, isNew, p.Version)
}

// HandlePeerFailure is called when messages to a member could not be delivered.
// The pieces that its batcher has are submitted again.
func (g *Gateway) HandlePeerFailure(name ident.Instance, reason string) {
	if g.members.Alive(g.now(), name) {
		g.out.LogEvent("memberLost", "member", name, "reason", reason)
	}
	g.members.MarkUnreachable(g.now(), name)
	delete(g.peerRequests, name)
	g.abandonPermits(name)
	g.placement.Abandon(name)
	g.updatePartitions(g.now())
	clear(g.batcherCache)
	g.resubmitLostPieces(g.now())
}

// updatePartitions passes on which data centres cannot be reached, and logs
// changes.
func (g *Gateway) updatePartitions(now time.Time) {
	partitioned := g.members.PartitionedDataCentres(now)
	if maps.Equal(partitioned, g.partitioned) {
		return
	}
	for _, dataCentre := range partitioned.Sorted() {
		if !g.partitioned.Has(dataCentre) {
			g.out.LogEvent("dataCentreLost", "centre", dataCentre)
		}
	}
	for _, dataCentre := range g.partitioned.Sorted() {
		if !partitioned.Has(dataCentre) {
			g.out.LogEvent("dataCentreReached", "centre", dataCentre)
		}
	}
	g.partitioned = partitioned
	g.directory.SetPartitioned(partitioned)
	clear(g.batcherCache)
	if g.members.InCore(now, g.config.Self.Name) {
		g.announcePartitions(now)
	}
}

// announcePartitions pings the members of the own data centre, so that they know
// at once which other data centres cannot be reached. Core members ping and are
// pinged more often than others, so they notice it first.
func (g *Gateway) announcePartitions(now time.Time) {
	g.cachedPong = nil
	p := g.newPing(now)
	for _, name := range g.members.RankedLocalMembers(now, "partition") {
		if name != g.config.Self.Name {
			g.sendToMember(name, message.Envelope{Ping: &p})
		}
	}
}

// countOwnRequests counts the requests that this instance has running at each
// endpoint.
func (g *Gateway) countOwnRequests() map[ident.Endpoint]int {
	running := map[ident.Endpoint]int{}
	for _, r := range g.requests {
		if r.attempt != nil && r.attempt.member == "" {
			running[r.attempt.endpoint]++
		}
	}
	return running
}

// countFleetRequests counts the requests that the fleet has running at each
// endpoint, from this instance's own and from the last pings of alive members.
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

// updatePeerRequests updates, for each endpoint, the number of requests that
// other instances have running there. Outside the core of a large fleet it uses
// the totals that a core member reported, since such an instance does not hear
// from all others.
func (g *Gateway) updatePeerRequests(now time.Time) {
	own := g.countOwnRequests()
	total := g.fleetRequests
	outsideCore := g.members.IsLarge() && !g.members.InCore(now, g.config.Self.Name)
	if !outsideCore || now.Sub(g.fleetRequestsAt) > fleetReportTTL {
		total = g.countFleetRequests(now, own)
	}
	for _, s := range value.SortedKeys(g.serviceNames()) {
		for _, e := range g.directory.ByService(s) {
			e.PeerRequests = max(total[e.Name]-own[e.Name], 0)
		}
	}
}

// serviceNames returns the services of the configuration.
func (g *Gateway) serviceNames() map[ident.Service]struct{} {
	services := map[ident.Service]struct{}{}
	if g.catalog != nil {
		for s := range g.catalog.Services {
			services[s] = struct{}{}
		}
	}
	return services
}
