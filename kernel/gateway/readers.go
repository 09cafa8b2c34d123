package gateway

import (
	"time"

	"anvilcross/kernel/ident"
	"anvilcross/kernel/message"
	"anvilcross/kernel/replica"
	"anvilcross/kernel/value"
)

const (
	// staleReader is the age at which a reader's last contact with the
	// platform no longer vouches for others: a watch's wait, and a ping. Half
	// of the time in which changes have to be in force is then left.
	staleReader = 1200 * time.Millisecond
	// doubtLife is how long after a reading in an outage removals are doubtful:
	// by then the entries of living endpoints are back.
	doubtLife = 2 * time.Second
	// minReaders is how many instances read the platform at least, so that
	// one that falls silent delays nobody.
	minReaders = 2
)

// contact is when a member last heard from the platform, as it told.
type contact struct {
	at    time.Time
	known bool
}

// Reads reports whether this instance reads the platform. One instance of each
// data centre does, two at least; the others learn from them, and read
// themselves once those have been out of touch with it.
func (g *Gateway) Reads() bool {
	now := g.now()
	if g.catalog == nil {
		return true
	}
	readers := g.readers(now)
	if readers.Has(string(g.config.Self.Name)) {
		return true
	}
	for _, name := range readers.Sorted() {
		c := g.contacts[ident.Instance(name)]
		if c.known && now.Sub(c.at) < staleReader {
			return false
		}
	}
	return true
}

// readers returns the instances that read the platform, as this one sees the
// fleet.
func (g *Gateway) readers(now time.Time) value.Set[string] {
	living := g.members.Living(now)
	best := map[ident.DataCentre]ident.Instance{}
	score := func(name ident.Instance) uint64 { return ident.Score("reader", string(name)) }
	for _, name := range living {
		centre := g.members.DataCentre(name)
		if old, ok := best[centre]; !ok || score(name) > score(old) {
			best[centre] = name
		}
	}
	readers := value.NewSet[string]()
	for _, name := range best {
		readers.Add(string(name))
	}
	for len(readers) < min(minReaders, len(living)) {
		var next ident.Instance
		for _, name := range living {
			if !readers.Has(string(name)) && (next == "" || score(name) > score(next)) {
				next = name
			}
		}
		readers.Add(string(next))
	}
	return readers
}

// heardContact takes in how long ago a member heard from the platform.
func (g *Gateway) heardContact(now time.Time, from ident.Instance, age *time.Duration) {
	if age == nil {
		delete(g.contacts, from)
		return
	}
	g.contacts[from] = contact{at: now.Add(-*age), known: true}
}

// contactAge is what this instance tells of its contact with the platform.
func (g *Gateway) contactAge(now time.Time) *time.Duration {
	c := g.contacts[g.config.Self.Name]
	if !c.known {
		return nil
	}
	age := now.Sub(c.at)
	return &age
}

// Listed takes in a full listing of the platform's records.
func (g *Gateway) Listed(records []replica.Record, asOf replica.Revision) {
	g.read(func(now time.Time) []replica.Record { return g.records.Replace(now, records, asOf) }, "listing")
}

// Watched takes in changes of the platform's records.
func (g *Gateway) Watched(records []replica.Record, asOf replica.Revision) {
	g.read(func(now time.Time) []replica.Record { return g.records.Apply(now, records, asOf) }, "watch")
}

// read takes records in that came from the platform, and passes news on.
func (g *Gateway) read(apply func(time.Time) []replica.Record, source string) {
	now := g.now()
	base := g.records.AsOf()
	news := apply(now)
	g.contacts[g.config.Self.Name] = contact{at: now, known: true}
	if g.book.Troubled() {
		g.doubtUntil = now.Add(doubtLife)
	}
	g.learn(news, source, g.doubt(now) > 0)
	if len(news) > 0 {
		g.spread(news, base)
	}
}

// doubt returns for how long removals that this instance has read may be
// entries that only lapsed.
func (g *Gateway) doubt(now time.Time) time.Duration { return max(g.doubtUntil.Sub(now), 0) }

// spread passes news of the platform on at once, so that instances that do not
// or cannot read it learn of changes in time.
func (g *Gateway) spread(news []replica.Record, base replica.Revision) {
	if len(news) > maxRecords {
		// The next pings ask for what they lack.
		return
	}
	m := message.Records{Records: news, Base: base, AsOf: g.records.AsOf(), Doubt: g.doubt(g.now())}
	for _, name := range g.members.Living(g.now()) {
		if name != g.config.Self.Name {
			g.sendTo(name, message.Envelope{Records: &m})
		}
	}
}

// handleRecords takes in records that a member passes on.
func (g *Gateway) handleRecords(from ident.Instance, m message.Records) {
	now := g.now()
	if m.Doubt > 0 {
		g.book.Doubt(now, m.Doubt)
	} else {
		g.confirm(m.Records)
	}
	asOf := replica.Revision(0)
	if m.Base <= g.records.AsOf() {
		asOf = m.AsOf
	}
	g.learn(g.records.Apply(now, m.Records, asOf), string(from), m.Doubt > 0)
}

// confirm drops endpoints whose removal was doubtful until now.
func (g *Gateway) confirm(records []replica.Record) {
	for _, r := range records {
		if !r.Removed {
			continue
		}
		if c, err := g.config.Decode(r); err == nil && c.Endpoint != "" && g.book.Confirm(c.Endpoint) {
			g.out.Event("endpointLapsed", "endpoint", c.Endpoint, "cause", "confirmed by another instance")
		}
	}
}

// answerBehind sends a member the records that it lacks.
func (g *Gateway) answerBehind(to ident.Instance, its replica.Revision) {
	if its >= g.records.AsOf() {
		return
	}
	records, complete := g.records.Since(its, maxRecords)
	m := message.Records{Records: records, Base: its, Doubt: g.doubt(g.now())}
	if complete {
		m.AsOf = g.records.AsOf()
	}
	g.sendTo(to, message.Envelope{Records: &m})
}
