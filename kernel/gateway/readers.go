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
	// maxContactAge is the age at which a reader's last contact with the
	// platform no longer vouches for others: a watch's wait, and a ping. Half
	// of the time in which changes have to be in force is then left.
	maxContactAge = 1200 * time.Millisecond
	// unconfirmedRemovalTime is how long after a reading in an outage removals are doubtful:
	// by then the entries of living endpoints are back.
	unconfirmedRemovalTime = 2 * time.Second
	// localResendDelay and farLag are for how long a member may lack records before
	// one of its own or of another data centre sends them: by then the news
	// that a reader passed on are there. A member without any gets them at once.
	localResendDelay  = 150 * time.Millisecond
	remoteResendDelay = 500 * time.Millisecond
	// maxFirstReadDelay is how long an instance that has just started leaves the
	// platform to others at most: within it those that live send their records.
	maxFirstReadDelay = 400 * time.Millisecond
	// extraReaderInterval is the time after which one more instance of each data centre
	// reads when the readers are out of touch.
	extraReaderInterval = 200 * time.Millisecond
	// minReaders is how many instances read the platform at least, so that
	// one that falls silent delays nobody.
	minReaders = 2
)

// platformContact is when a member last heard from the platform, as it told.
type platformContact struct {
	at    time.Time
	known bool
}

// ReadsPlatform reports whether this instance reads the platform. One instance of each
// data centre does, two at least; the others learn from them. Once all readers
// are out of touch with the platform, more and more of the others read too: one
// that the platform serves is soon among them, while an outage costs few calls.
func (g *Gateway) ReadsPlatform() bool {
	now := g.now()
	if g.catalog == nil {
		return now.Sub(g.startedAt) >= g.firstReadDelay() || g.members.Known() > 1 && g.platformReaders(now).Has(g.config.Self.Name)
	}
	if g.platformReaders(now).Has(g.config.Self.Name) {
		return true
	}
	stale := now.Sub(g.latestReaderContact(now)) - g.maxReaderContactAge()
	if stale < 0 {
		return false
	}
	rank := slices.Index(g.members.Nearest(now, "reader"), g.config.Self.Name)
	return stale >= time.Duration(rank)*extraReaderInterval
}

// firstReadDelay is how long after its start an instance reads the platform if
// nobody has sent it records: instances that start together read one after the
// other, and the first ones tell the rest.
func (g *Gateway) firstReadDelay() time.Duration {
	const parts = 1 << 16
	part := ident.Score("firstReading", string(g.config.Self.Name)) % parts
	return maxFirstReadDelay * time.Duration(part) / parts
}

// latestReaderContact is when a reader last heard from the platform, as far as this
// instance knows.
func (g *Gateway) latestReaderContact(now time.Time) time.Time {
	var latest time.Time
	for name := range g.platformReaders(now) {
		if c := g.platformContacts[name]; c.known && c.at.After(latest) {
			latest = c.at
		}
	}
	return latest
}

// platformReaders returns the instances that read the platform, as this one sees the
// fleet.
func (g *Gateway) platformReaders(now time.Time) value.Set[ident.Instance] {
	return value.NewSet(g.members.Firsts(now, minReaders)...)
}

// maxReaderContactAge is the age at which a reader's last contact does not vouch for
// others: what is heard of it is older in a large fleet.
func (g *Gateway) maxReaderContactAge() time.Duration {
	return maxContactAge + 2*(g.members.Period()-membership.PingPeriod)
}

// recordContact takes in how long ago a member heard from the platform.
func (g *Gateway) recordContact(now time.Time, from ident.Instance, age *time.Duration) {
	if age == nil {
		delete(g.platformContacts, from)
		return
	}
	g.platformContacts[from] = platformContact{at: now.Add(-*age), known: true}
}

// ownContactAge is what this instance tells of its contact with the platform.
func (g *Gateway) ownContactAge(now time.Time) *time.Duration {
	c := g.platformContacts[g.config.Self.Name]
	if !c.known {
		return nil
	}
	age := now.Sub(c.at)
	return &age
}

// HandleListing takes in a full listing of the platform's records.
func (g *Gateway) HandleListing(records []replica.Record, asOf replica.Revision) {
	g.applyPlatformRecords(func(now time.Time) []replica.Record { return g.records.Replace(now, records, asOf) }, "listing")
}

// HandleChanges takes in changes of the platform's records.
func (g *Gateway) HandleChanges(records []replica.Record, asOf replica.Revision) {
	g.applyPlatformRecords(func(now time.Time) []replica.Record { return g.records.Apply(now, records, asOf) }, "watch")
}

// applyPlatformRecords takes records in that came from the platform, and passes news on.
func (g *Gateway) applyPlatformRecords(apply func(time.Time) []replica.Record, source string) {
	now := g.now()
	base := g.records.AsOf()
	news := apply(now)
	g.platformContacts[g.config.Self.Name] = platformContact{at: now, known: true}
	if g.directory.Troubled() {
		g.unconfirmedUntil = now.Add(unconfirmedRemovalTime)
	}
	g.applyRecords(news, source, g.unconfirmedTime(now) > 0)
	if len(news) > 0 {
		g.broadcastRecords(base)
	}
}

// unconfirmedTime returns for how long removals that this instance has read may be
// entries that only lapsed.
func (g *Gateway) unconfirmedTime(now time.Time) time.Duration {
	return max(g.unconfirmedUntil.Sub(now), 0)
}

// broadcastRecords passes all records above a revision on at once, so that instances that
// do not or cannot read the platform learn of changes in time: also those that
// were no news here, since a member of another data centre had sent them. Each
// data centre has a reader of its own; the rest of the fleet asks by its pings.
func (g *Gateway) broadcastRecords(base replica.Revision) {
	records, asOf := g.records.Since(base, maxRecordsPerMessage)
	m := message.Records{Records: records, Base: base, AsOf: asOf, Doubt: g.unconfirmedTime(g.now())}
	now := g.now()
	for _, name := range g.members.Living(now) {
		near := g.members.DataCentre(name) == g.config.Self.DataCentre
		if name != g.config.Self.Name && (near || g.members.InCore(now, name)) {
			g.sendToMember(name, message.Envelope{Records: &m})
		}
	}
}

// handleRecords takes in records that a member passes on.
func (g *Gateway) handleRecords(from ident.Instance, m message.Records) {
	now := g.now()
	if m.Doubt > 0 {
		g.directory.Doubt(now, m.Doubt)
	} else {
		g.confirmRemovals(m.Records)
	}
	asOf := replica.Revision(0)
	if m.Base <= g.records.AsOf() {
		asOf = m.AsOf
	}
	g.applyRecords(g.records.Apply(now, m.Records, asOf), string(from), m.Doubt > 0)
}

// confirmRemovals drops endpoints whose removal was doubtful until now.
func (g *Gateway) confirmRemovals(records []replica.Record) {
	for _, r := range records {
		if !r.Removed {
			continue
		}
		if c, err := g.config.DecodeRecord(r); err == nil && c.Endpoint != "" && g.directory.Confirm(c.Endpoint) {
			g.out.LogEvent("endpointLapsed", "endpoint", c.Endpoint, "cause", "confirmed by another instance")
		}
	}
}

// peerLag is since when a member has lacked records, as it told.
type peerLag struct {
	asOf  replica.Revision
	since time.Time
}

// sendMissingRecords sends a member the records that it lacks, unless they are likely
// to be under way: a reader passes news on at once, and others answer too.
func (g *Gateway) sendMissingRecords(now time.Time, m membership.Member, its replica.Revision) {
	if its >= g.records.AsOf() {
		delete(g.laggingPeers, m.Name)
		return
	}
	old, known := g.laggingPeers[m.Name]
	if !known || old.asOf != its {
		old = peerLag{asOf: its, since: now}
		g.laggingPeers[m.Name] = old
	}
	patience := remoteResendDelay
	if m.DataCentre == g.config.Self.DataCentre {
		patience = localResendDelay
		if its == 0 && !known {
			patience = 0
		}
	}
	if now.Sub(old.since) < patience {
		return
	}
	// The answer takes a while: the next one is due after another lag.
	g.laggingPeers[m.Name] = peerLag{asOf: its, since: now}
	records, asOf := g.records.Since(its, maxRecordsPerMessage)
	answer := message.Records{Records: records, Base: its, AsOf: asOf, Doubt: g.unconfirmedTime(now)}
	g.sendToMember(m.Name, message.Envelope{Records: &answer})
}
