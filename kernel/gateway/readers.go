package gateway

import (
	"slices"
	"time"

	"anvilcross/kernel/ident"
	"anvilcross/kernel/membership"
	"anvilcross/kernel/message"
	"anvilcross/kernel/replica"
	"anvilcross/kernel/value"
)

const (
	// maxContactAge is the age up to which a reader's last contact with the
	// platform is recent enough for the instances that rely on it: the wait of
	// one watch and a ping. At that age, half of the time within which a change
	// has to take effect is left.
	maxContactAge = 1200 * time.Millisecond
	// unconfirmedRemovalTime is how long after a read during a platform outage
	// removals are unconfirmed: by then alive endpoints have registered again.
	unconfirmedRemovalTime = 2 * time.Second
	// localResendDelay and remoteResendDelay are how long a member may lack
	// records before an instance of the same or of another data centre sends
	// them: by then the records that a reader broadcast have arrived. A member
	// without any records gets them at once from its own data centre.
	localResendDelay  = 150 * time.Millisecond
	remoteResendDelay = 500 * time.Millisecond
	// maxFirstReadDelay is the longest time that an instance waits after its
	// start before it reads the platform itself: within it, alive instances
	// send it their records.
	maxFirstReadDelay = 500 * time.Millisecond
	// maxOfferWait is how long an instance without a configuration waits for the
	// records of another one that has some before it reads the platform itself.
	maxOfferWait = 1200 * time.Millisecond
	// extraReaderInterval is the interval at which one more instance of each
	// data centre starts to read while the readers have no contact with the
	// platform.
	extraReaderInterval = 200 * time.Millisecond
	// minReaders is the least number of instances that read the platform, so
	// that the loss of one of them delays no change.
	minReaders = 2
)

// platformContact is the time at which a member last read from the platform, as
// it reported.
type platformContact struct {
	at    time.Time
	known bool
}

// readingCause is why an instance reads the platform.
type readingCause string

// The causes. An instance outside them does not read.
const (
	noReading readingCause = "none"
	// firstReading is that of an instance that has no records yet.
	firstReading readingCause = "noRecords"
	// regularReading is that of the instances that read the platform for the
	// others.
	regularReading readingCause = "regular"
	// extraReading is that of further instances while no regular reader has
	// contact with the platform.
	extraReading readingCause = "noContact"
)

// ReadsPlatform reports whether this instance reads the platform. One instance
// of each data centre does, and at least minReaders in all; the others get the
// records from them. While no reader has contact with the platform, one more
// instance of each data centre reads too after every extraReaderInterval. That
// soon includes one that the platform serves, if there is any, and costs few
// calls in an outage.
func (g *Gateway) ReadsPlatform() bool { return g.readingCause(g.now()) != noReading }

// readingCause returns why this instance reads the platform at present.
func (g *Gateway) readingCause(now time.Time) readingCause {
	if g.catalog == nil && g.records.AsOf() == 0 {
		if now.Sub(g.startedAt) >= g.firstReadDelay() && !g.expectsRecords(now) {
			return firstReading
		}
		return noReading
	}
	if g.platformReaders(now).Has(g.config.Self.Name) {
		return regularReading
	}
	overdue := now.Sub(g.latestReaderContact(now)) - g.extraReaderDelay(now)
	if overdue < 0 {
		return noReading
	}
	rank := slices.Index(g.standbyRanks(now), g.config.Self.Name)
	if overdue >= time.Duration(rank)*extraReaderInterval {
		return extraReading
	}
	return noReading
}

// extraReaderDelay returns the age of the readers' last contact from which this instance may
// read in their place. Core members and the standby reader hear of it sooner than the others.
func (g *Gateway) extraReaderDelay(now time.Time) time.Duration {
	delay := g.maxReaderContactAge()
	switch {
	case g.members.InCore(now, g.config.Self.Name):
		return min(delay, maxContactAge)
	case g.isStandby:
		return min(delay, maxContactAge+membership.WatchedPingPeriod-membership.BasePingPeriod)
	}
	return delay
}

// standbyRanks returns the members of the own data centre that may read in place of the regular
// readers, in the order in which they begin: those in the core first.
func (g *Gateway) standbyRanks(now time.Time) []ident.Instance {
	readers := g.platformReaders(now)
	var core, others []ident.Instance
	for _, name := range g.members.RankedLocalMembers(now, "reader") {
		switch {
		case readers.Has(name):
		case g.members.InCore(now, name):
			core = append(core, name)
		default:
			others = append(others, name)
		}
	}
	return append(core, others...)
}

// updateStandby determines whether this instance is the standby reader of its data centre, the
// first one that would read in place of a regular reader. Outside the core it has to ping that
// reader more often than it would otherwise.
func (g *Gateway) updateStandby(now time.Time) {
	ranks := g.standbyRanks(now)
	g.isStandby = len(ranks) > 0 && ranks[0] == g.config.Self.Name
	watched := ident.Instance("")
	if g.isStandby {
		for name := range g.platformReaders(now) {
			if g.members.DataCentre(name) == g.config.Self.DataCentre {
				watched = max(watched, name)
			}
		}
	}
	g.members.Watch(watched)
}

// logReading logs when this instance begins or ceases to read the platform.
func (g *Gateway) logReading(now time.Time, cause readingCause) {
	if cause == g.loggedReading {
		return
	}
	g.loggedReading = cause
	g.out.LogEvent("platformReading", "cause", cause, "readerContactAge", now.Sub(g.latestReaderContact(now)), "maxAge", g.extraReaderDelay(now), "asOf", g.records.AsOf())
}

// noticeNewerRecords handles that another member says up to which revision it has records. If
// this instance lacks some, it soon asks a core member for them unless they have come: a member by
// itself sends what another one lacks only if a second ping shows that it still does.
func (g *Gateway) noticeNewerRecords(now time.Time, m membership.Member, peerRevision replica.Revision) {
	if peerRevision <= g.records.AsOf() {
		return
	}
	if g.behindSince.IsZero() {
		g.behindSince, g.behindRevision = now, peerRevision
	}
	delay := remoteResendDelay
	if m.DataCentre == g.config.Self.DataCentre {
		delay = localResendDelay
	}
	if g.askingIn.Has(m.DataCentre) || !g.members.InCore(now, m.Name) {
		return
	}
	g.askingIn.Add(m.DataCentre)
	g.timers.After(delay, func() {
		delete(g.askingIn, m.DataCentre)
		if above := g.records.AsOf(); peerRevision > above {
			g.sendToMember(m.Name, message.Envelope{RecordsRequest: &message.RecordsRequest{Above: above}})
		}
	})
}

// behindFor returns for how long this instance has known that others have records that it
// lacks; zero if it doesn't.
func (g *Gateway) behindFor(now time.Time) time.Duration {
	if g.behindSince.IsZero() {
		return 0
	}
	return now.Sub(g.behindSince)
}

// endBehind ends the time in which this instance lacked records of others, once it has them.
func (g *Gateway) endBehind() {
	if g.records.AsOf() >= g.behindRevision {
		g.behindSince = time.Time{}
	}
}

// expectsRecords reports whether another instance, which has records, will soon
// send them to this one.
func (g *Gateway) expectsRecords(now time.Time) bool {
	return !g.recordsOfferedAt.IsZero() && now.Sub(g.recordsOfferedAt) < maxOfferWait
}

// firstReadDelay returns how long after its start this instance reads the
// platform if no other instance has sent it records. The delay depends on the
// instance's name, so that of several that start together the first ones to
// read send the records to the others.
func (g *Gateway) firstReadDelay() time.Duration {
	const parts = 1 << 16
	part := ident.HashPair("firstReading", string(g.config.Self.Name)) % parts
	return maxFirstReadDelay * time.Duration(part) / parts
}

// latestReaderContact returns the time of the latest contact that any reader
// has reported, or that of this instance's start if none has: readers need a
// while to report to a new instance.
func (g *Gateway) latestReaderContact(now time.Time) time.Time {
	var latest time.Time
	for name := range g.platformReaders(now) {
		if c := g.platformContacts[name]; c.known && c.at.After(latest) {
			latest = c.at
		}
	}
	if latest.IsZero() {
		return g.startedAt
	}
	return latest
}

// platformReaders returns the instances that read the platform regularly, from
// this instance's view of the fleet.
func (g *Gateway) platformReaders(now time.Time) value.Set[ident.Instance] {
	return value.NewSet(g.members.FirstPerDataCentre(now, minReaders)...)
}

// maxReaderContactAge returns maxContactAge, extended by the longer ping period
// of a large fleet, in which reports on contacts are older.
func (g *Gateway) maxReaderContactAge() time.Duration {
	return maxContactAge + 2*(g.members.PingPeriod()-membership.BasePingPeriod)
}

// recordContact stores how long ago a member last read from the platform; age
// is nil if it never has.
func (g *Gateway) recordContact(now time.Time, from ident.Instance, age *time.Duration) {
	if age == nil {
		delete(g.platformContacts, from)
		return
	}
	g.platformContacts[from] = platformContact{at: now.Add(-*age), known: true}
}

// ownContactAge returns how long ago this instance last read from the platform,
// or nil if it never has.
func (g *Gateway) ownContactAge(now time.Time) *time.Duration {
	c := g.platformContacts[g.config.Self.Name]
	if !c.known {
		return nil
	}
	age := now.Sub(c.at)
	return &age
}

// HandleFullList handles the full list of the platform's records. It is
// complete up to the revision asOf; single records may be newer.
func (g *Gateway) HandleFullList(records []replica.Record, asOf replica.Revision) {
	g.applyPlatformRecords(len(records), asOf, func(now time.Time) []replica.Record { return g.records.ApplyFullList(now, records, asOf) }, "listing")
}

// HandleChanges handles changes of the platform's records up to a revision, as
// a watch returned them.
func (g *Gateway) HandleChanges(records []replica.Record, asOf replica.Revision) {
	g.applyPlatformRecords(len(records), asOf, func(now time.Time) []replica.Record { return g.records.Apply(now, records, asOf) }, "watch")
}

// applyPlatformRecords applies the given number of records, up to the revision asOf, that
// this instance read from the platform, and broadcasts them if any of them is new to it.
func (g *Gateway) applyPlatformRecords(count int, asOf replica.Revision, apply func(time.Time) []replica.Record, source string) {
	now := g.now()
	base := g.records.AsOf()
	updates := apply(now)
	if len(updates) != count || asOf < base {
		g.out.LogEvent("platformRead", "source", source, "records", count, "new", len(updates), "asOf", asOf, "before", base)
	}
	g.platformContacts[g.config.Self.Name] = platformContact{at: now, known: true}
	restored := base > 0 && g.records.AsOf().Era() > base.Era()
	if restored {
		g.out.LogEvent("platformRestored", "asOf", g.records.AsOf(), "before", base)
	}
	// Endpoints write their entries again after an outage or a restore.
	if restored || g.directory.PlatformUnavailable() {
		g.outageUntil = now.Add(unconfirmedRemovalTime)
	}
	g.applyRecords(updates, source, g.outageWindow(now))
	g.endBehind()
	if len(updates) > 0 {
		g.broadcastRecords(base, g.outageWindow(now), true)
	}
}

// outageWindow returns how much longer a removal that this instance reads
// counts as unconfirmed because of a platform outage; zero if it is certain.
func (g *Gateway) outageWindow(now time.Time) time.Duration { return max(g.outageUntil.Sub(now), 0) }

// endForeignOutage ends a platform outage for an instance that no longer reads
// the platform. It read only while the regular readers had no contact, and will
// not notice itself that the platform answers again.
func (g *Gateway) endForeignOutage() {
	if g.directory.PlatformUnavailable() {
		g.out.LogEvent("platformLeftToReaders", "members", g.AliveCount())
		g.HandlePlatformAvailable()
	}
}

// broadcastRecords sends all records above a revision to the alive members of
// the own data centre and to the core members, so that instances that do not or
// cannot read the platform learn of changes in time. This includes records that
// this instance already had from another data centre's member, since the
// receivers may lack them. The rest of the fleet is served by the reader of its
// own data centre, or in answer to its pings. Only members of the own data centre get them
// unless toCore is set.
func (g *Gateway) broadcastRecords(base replica.Revision, unconfirmedFor time.Duration, toCore bool) {
	now := g.now()
	m := message.Records{Delta: g.records.ChangesSince(base, maxRecordsPerMessage), UnconfirmedFor: unconfirmedFor}
	for _, name := range g.members.AliveMembers(now) {
		sameCentre := g.members.DataCentre(name) == g.config.Self.DataCentre
		if name != g.config.Self.Name && (sameCentre || toCore && g.members.InCore(now, name)) {
			g.sendToMember(name, message.Envelope{Records: &m})
		}
	}
}

// handleRecords handles records that another member sent.
func (g *Gateway) handleRecords(from ident.Instance, m message.Records) {
	now := g.now()
	if m.UnconfirmedFor <= 0 {
		g.confirmRemovals(m.Records)
	}
	if m.Carried != nil {
		g.applyCarried(*m.Carried, string(from))
	}
	base := g.records.AsOf()
	updates := g.records.ApplyDelta(now, m.Delta)
	if len(updates) > 0 {
		g.recordsReceivedAt = now
	}
	g.applyRecords(updates, string(from), m.UnconfirmedFor)
	g.endBehind()
	// The reader of another data centre does not send to the members of this one.
	if len(updates) > 0 && base > 0 && g.members.DataCentre(from) != g.config.Self.DataCentre && g.platformReaders(now).Has(g.config.Self.Name) {
		g.broadcastRecords(base, m.UnconfirmedFor, false)
	}
}

// settleRemovals drops the endpoints whose removal has been unconfirmed for long
// enough. They wait only while this instance finds the platform down and hears of no
// other one that reaches it: else a new listing would have come.
func (g *Gateway) settleRemovals(now time.Time) {
	if g.directory.PlatformUnavailable() && !g.platformInReach(now) {
		g.directory.PostponeRemovals(now)
		g.evacuations.Postpone(now)
		return
	}
	for _, dataCentre := range g.evacuations.Settle(now) {
		g.logEvacuationEnded(dataCentre, "unconfirmed for long enough")
	}
	g.applyEvacuations()
	for _, name := range g.directory.PurgeRemoved(now) {
		g.out.LogEvent("endpointLapsed", "endpoint", name)
	}
}

// platformInReach reports whether any instance has recent contact with the platform.
func (g *Gateway) platformInReach(now time.Time) bool {
	for _, c := range g.platformContacts {
		if c.known && now.Sub(c.at) <= g.maxReaderContactAge() {
			return true
		}
	}
	return false
}

// hasRecentNews reports whether this instance knows recent news of the platform: another one,
// or it, has just read it, or it has just got records that it lacked.
func (g *Gateway) hasRecentNews(now time.Time) bool {
	return g.platformInReach(now) || now.Sub(g.recordsReceivedAt) <= g.maxReaderContactAge()
}

// confirmRemovals drops the endpoints among removed records whose removal was
// unconfirmed until now.
func (g *Gateway) confirmRemovals(records []replica.Record) {
	for _, r := range records {
		if !r.Removed {
			continue
		}
		decoded, err := g.config.DecodeRecord(r)
		switch {
		case err != nil:
		case decoded.Endpoint != "" && g.directory.ConfirmRemoval(decoded.Endpoint):
			g.out.LogEvent("endpointLapsed", "endpoint", decoded.Endpoint, "cause", "confirmed by another instance")
		case decoded.Evacuated != "" && g.evacuations.Confirm(g.now(), decoded.Evacuated, r.Revision):
			g.logEvacuationEnded(decoded.Evacuated, "confirmed by another instance")
		}
	}
}

// peerLag is the revision that a member has reported while it lacks newer
// records, and the time since when.
type peerLag struct {
	asOf  replica.Revision
	since time.Time
}

// sendMissingRecords sends a member the records above its revision. It waits a
// while first, since a reader broadcasts new records at once and other
// instances may also send them.
func (g *Gateway) sendMissingRecords(now time.Time, m membership.Member, peerRevision replica.Revision) {
	if peerRevision >= g.records.AsOf() {
		delete(g.laggingPeers, m.Name)
		return
	}
	lag, known := g.laggingPeers[m.Name]
	if !known || lag.asOf != peerRevision {
		lag = peerLag{asOf: peerRevision, since: now}
		g.laggingPeers[m.Name] = lag
	}
	delay := remoteResendDelay
	if m.DataCentre == g.config.Self.DataCentre {
		delay = localResendDelay
		if peerRevision == 0 && !known {
			delay = 0
		}
	}
	if now.Sub(lag.since) < delay {
		return
	}
	// The message takes a while to arrive, so the delay starts again before the
	// next one.
	g.laggingPeers[m.Name] = peerLag{asOf: peerRevision, since: now}
	g.sendRecordsAbove(m.Name, peerRevision)
}

// sendRecordsAbove sends a member all records above a revision.
func (g *Gateway) sendRecordsAbove(to ident.Instance, base replica.Revision) {
	for base < g.records.AsOf() {
		missing := message.Records{Delta: g.records.ChangesSince(base, maxRecordsPerMessage), UnconfirmedFor: g.outageWindow(g.now())}
		g.sendToMember(to, message.Envelope{Records: &missing})
		if missing.AsOf <= base {
			return
		}
		base = missing.AsOf
	}
}
