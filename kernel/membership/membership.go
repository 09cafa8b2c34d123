// Package membership discovers the other entry instances and detects which of
// them are reachable. It starts from seed addresses and learns about further
// members by gossip in pings. In a small fleet every member pings all others.
// In a larger one every member pings the same few core members, which have the
// most capacity, and a few of the others in rotation, so that the number of
// pings does not grow with the square of the fleet.
package membership

import (
	"math"
	"slices"
	"time"

	"anvilcross/kernel/ident"
	"anvilcross/kernel/value"
)

const (
	// BasePingPeriod is the time between two pings to the same member in a small
	// fleet, and between core members in a fleet of any size.
	BasePingPeriod = 200 * time.Millisecond
	// WatchedPingPeriod is the longest time between two pings to the watched member.
	WatchedPingPeriod = 2 * BasePingPeriod
	// maxPingPeriod bounds PingPeriod.
	maxPingPeriod = time.Second
	// basePeriodMembers is the fleet size up to which PingPeriod is
	// BasePingPeriod. Above it the period grows with the fleet, so that the
	// number of pings per second that a core member receives does not.
	basePeriodMembers = 32
	// maxMissedPings is the number of ping periods without a sign of life after
	// which a member counts as unreachable. It is more than one, so that a few
	// lost pings do not move the member's work to another.
	maxMissedPings = 4
	// recentPingShare is the share of the ping period during which a member
	// that has sent a ping is not pinged: its ping was answered, which tells it
	// the same.
	recentPingShare = 0.75
	// targetCoreMembers is the number of core members up to which members of
	// the highest capacity class are added to the core, and minCoreMembers the
	// number up to which members of any class are. In a fleet of up to
	// fullMeshMembers all members are core members.
	targetCoreMembers = 8
	minCoreMembers    = 4
	fullMeshMembers   = 12
	// nonCoreTargets is the number of members outside the core that are pinged
	// per period, in rotation.
	nonCoreTargets = 2
	// rotationStarts is the number of positions at which an instance may start
	// its rotation: the largest fleet that this package is designed for.
	rotationStarts = 1000
	// forgetAfter is how long a member that no ping comes from or mentions is
	// still pinged, since a network partition may heal.
	forgetAfter = 90 * time.Second
	// ignoreGossipFor is how long gossip that a member is alive is ignored after
	// this instance failed to deliver a message to it.
	ignoreGossipFor = 2 * time.Second
	// maxEntries bounds the gossip entries in one answer to a ping,
	// maxEntriesOutsideCore those of a member outside the core, and
	// maxEntriesForNewcomer those in an answer to a member that knows less than
	// half of the fleet.
	maxEntries            = 3
	maxEntriesOutsideCore = 2
	maxEntriesForNewcomer = 40
	// coreCacheShare is the share of the ping period for which the computed list
	// of core members is reused.
	coreCacheShare = 0.5
)

// Member describes an instance to the other instances.
type Member struct {
	Name        ident.Instance    `json:"name"`
	Address     string            `json:"address"`
	DataCentre  ident.DataCentre  `json:"dataCentre"`
	Incarnation ident.Incarnation `json:"incarnation"`
	// Capacity is the instance's capacity for work on behalf of others, relative
	// to other members: its processor share or its network link, whichever is
	// the bottleneck.
	Capacity float64 `json:"capacity,omitempty"`
	// AcceptsForwards is set if the instance serves requests that others forward to it.
	// Earlier versions do not.
	AcceptsForwards bool `json:"acceptsForwards,omitempty"`
}

// capacityClass returns the rounded-down binary logarithm of the capacity, so
// that small differences in capacity do not affect the ranking.
func (m Member) capacityClass() int {
	if m.Capacity <= 0 {
		return 0
	}
	return int(math.Floor(math.Log2(m.Capacity)))
}

// GossipEntry is what one member tells another about a third.
type GossipEntry struct {
	Member
	// Age is the time since the member itself was last heard from, by the
	// sender or by the instance that the sender has the entry from.
	Age     time.Duration `json:"age"`
	Leaving bool          `json:"leaving,omitempty"`
}

// memberState is what this instance knows about another member.
type memberState struct {
	Member
	// lastSeenAt is the time of the last sign of life, by a ping from the member
	// or by gossip; zero after a failed delivery.
	lastSeenAt time.Time
	// lastPingAt is when the member itself last sent a ping.
	lastPingAt time.Time
	// unreachableAt is when a message to the member could not be delivered; zero
	// after its next ping.
	unreachableAt time.Time
	// lastMentionedAt is when a ping from the member or gossip about it last
	// arrived, whatever the age of the gossip.
	lastMentionedAt time.Time
	leaving         bool
}

// Config configures a Table.
type Config struct {
	Self  Member
	Seeds []string
}

// Table holds the known members.
type Table struct {
	config  Config
	members map[ident.Instance]*memberState
	// entryCursor and pingCursor are the positions of the rotations through the
	// gossip entries and through the members outside the core.
	entryCursor int
	pingCursor  int
	// rotatedAt is when pingCursor last moved.
	rotatedAt time.Time
	leaving   bool
	// watched is the member that the own instance pings every WatchedPingPeriod or more often,
	// whatever the size of the fleet; empty if there is none.
	watched ident.Instance

	// links holds what is known of the connection to each other data centre.
	links map[ident.DataCentre]*centreLink
	// probedAt is when members of partitioned data centres were last pinged.
	probedAt time.Time

	// names caches the names of the known members, sorted; nil when it has to be
	// computed.
	names []ident.Instance
	// core caches the core members; nil when it has to be recomputed.
	core         []ident.Instance
	coreCachedAt time.Time
}

// NewTable returns a table that holds only the own instance.
func NewTable(c Config) *Table {
	// Instances start their rotations at different positions, so that they do
	// not all ping the same member at once.
	first := ident.HashPair("turn", string(c.Self.Name)) % rotationStarts
	return &Table{config: c, members: map[ident.Instance]*memberState{}, links: map[ident.DataCentre]*centreLink{}, pingCursor: int(first), entryCursor: int(first)}
}

// SetSeeds replaces the seed addresses.
func (t *Table) SetSeeds(seeds []string) { t.config.Seeds = seeds }

// Leave removes the own instance from the core because it is stopping.
func (t *Table) Leave() {
	t.leaving = true
	t.core = nil
}

// Watch lets the own instance ping a member every WatchedPingPeriod or more often, whatever the
// size of the fleet; none if the name is empty.
func (t *Table) Watch(name ident.Instance) { t.watched = name }

// Self returns the own instance.
func (t *Table) Self() Member { return t.config.Self }

// PingPeriod returns the time between two pings from a member outside the core
// to a core member.
func (t *Table) PingPeriod() time.Duration {
	size := t.KnownCount()
	return min(max(BasePingPeriod, BasePingPeriod*time.Duration(size)/basePeriodMembers), maxPingPeriod)
}

// IsLarge reports whether the fleet has members outside the core.
func (t *Table) IsLarge() bool { return len(t.members) >= fullMeshMembers }

// reachableFor returns how long a member counts as reachable after its last sign of
// life.
func (t *Table) reachableFor() time.Duration { return maxMissedPings * t.PingPeriod() }

// RecordPing records a ping from a member. It returns true when the member is
// new, was unreachable until now or is another incarnation than before.
func (t *Table) RecordPing(now time.Time, m Member, leaving bool) bool {
	if m.Name == t.config.Self.Name {
		return false
	}
	if t.link(m.DataCentre).recordSign(now) {
		t.core = nil
	}
	k := t.members[m.Name]
	changed := k == nil || k.Incarnation != m.Incarnation || now.Sub(k.lastSeenAt) > t.reachableFor()
	if k == nil {
		k = &memberState{}
		t.members[m.Name] = k
		t.names = nil
	}
	if changed || k.leaving != leaving {
		t.core = nil
	}
	k.Member = m
	k.lastSeenAt, k.lastPingAt, k.lastMentionedAt, k.unreachableAt = now, now, now, time.Time{}
	k.leaving = leaving
	return changed
}

// RecordHeard records a message other than a ping from a known member, which is a
// sign of life too.
func (t *Table) RecordHeard(now time.Time, name ident.Instance, incarnation ident.Incarnation) {
	k := t.members[name]
	if k == nil || k.Incarnation != incarnation {
		return
	}
	if t.link(k.DataCentre).recordSign(now) || now.Sub(k.lastSeenAt) > t.reachableFor() {
		t.core = nil
	}
	k.lastSeenAt, k.lastMentionedAt, k.unreachableAt = now, now, time.Time{}
}

// MergeGossip merges what another member knows about third members. An entry
// replaces only older knowledge, and none within ignoreGossipFor after a failed
// delivery to the member.
func (t *Table) MergeGossip(now time.Time, entries []GossipEntry) {
	for _, g := range entries {
		if g.Name == t.config.Self.Name {
			continue
		}
		k := t.members[g.Name]
		if k == nil {
			k = &memberState{Member: g.Member}
			t.members[g.Name] = k
			t.names = nil
		}
		k.lastMentionedAt = now
		at := now.Add(-g.Age)
		if !at.After(k.lastSeenAt) || now.Sub(k.unreachableAt) < ignoreGossipFor {
			continue
		}
		k.Member, k.lastSeenAt, k.leaving = g.Member, at, g.Leaving
	}
}

// MarkUnreachable records that a message to a member could not be delivered.
func (t *Table) MarkUnreachable(now time.Time, name ident.Instance) {
	if k := t.members[name]; k != nil {
		k.lastSeenAt, k.unreachableAt = time.Time{}, now
		t.core = nil
		t.link(k.DataCentre).recordUnreachable(now, name)
	}
}

// Reachable reports whether a member has recently given a sign of life.
func (t *Table) Reachable(now time.Time, name ident.Instance) bool {
	if name == t.config.Self.Name {
		return true
	}
	k := t.members[name]
	return k != nil && now.Sub(k.lastSeenAt) <= t.reachableFor() && !t.Partitioned(now, k.DataCentre)
}

// UnreachableSince reports whether a message to a member could not be delivered
// after the given time.
func (t *Table) UnreachableSince(name ident.Instance, since time.Time) bool {
	k := t.members[name]
	return k == nil || k.unreachableAt.After(since)
}

// Alive reports whether a member is reachable and not leaving.
func (t *Table) Alive(now time.Time, name ident.Instance) bool {
	k := t.members[name]
	return t.Reachable(now, name) && (k == nil || !k.leaving)
}

// Incarnation returns the last known incarnation of a member.
func (t *Table) Incarnation(name ident.Instance) ident.Incarnation {
	return t.member(name).Incarnation
}

// DataCentre returns a member's data centre.
func (t *Table) DataCentre(name ident.Instance) ident.DataCentre { return t.member(name).DataCentre }

// CapacityClass returns the capacity class of a member; the classes are
// logarithmic.
func (t *Table) CapacityClass(name ident.Instance) int { return t.member(name).capacityClass() }

// AcceptsForwards reports whether a member serves requests that others forward to it.
func (t *Table) AcceptsForwards(name ident.Instance) bool { return t.member(name).AcceptsForwards }

// member returns a known member or the own instance, or else a zero Member.
func (t *Table) member(name ident.Instance) Member {
	if k := t.members[name]; k != nil {
		return k.Member
	}
	if name == t.config.Self.Name {
		return t.config.Self
	}
	return Member{}
}

// sortedNames returns the names of the known members, sorted. The caller must
// not modify the result.
func (t *Table) sortedNames() []ident.Instance {
	if t.names == nil {
		t.names = value.SortedKeys(t.members)
	}
	return t.names
}

// AliveMembers returns the names of the own instance and of the members that are
// alive, sorted.
func (t *Table) AliveMembers(now time.Time) []ident.Instance {
	self := t.config.Self.Name
	names := make([]ident.Instance, 0, len(t.members)+1)
	for _, name := range t.sortedNames() {
		if t.Alive(now, name) {
			names = append(names, name)
		}
	}
	at, _ := slices.BinarySearch(names, self)
	return slices.Insert(names, at, self)
}

// PeerAddress is the network address of an instance. The name is empty for a
// seed that no ping has come from yet.
type PeerAddress struct {
	Name    ident.Instance
	Address string
}

// Address returns the network address of a member, and whether it is known.
func (t *Table) Address(name ident.Instance) (string, bool) {
	k := t.members[name]
	if k == nil {
		return "", false
	}
	return k.Address, true
}

// AllAddresses returns the network addresses of all known members, sorted by
// name.
func (t *Table) AllAddresses() []PeerAddress {
	var all []PeerAddress
	for _, name := range t.sortedNames() {
		all = append(all, PeerAddress{Name: name, Address: t.members[name].Address})
	}
	return all
}

// PingTargets returns the instances to ping now: core members and the watched one without a
// recent ping of their own, once per period some of the other members in rotation, and
// the seeds whose address belongs to no known member. It also removes members
// that have not been mentioned for a long time.
func (t *Table) PingTargets(now time.Time) []PeerAddress {
	t.removeForgotten(now)
	core := value.NewSet(t.Core(now)...)
	period := t.PingPeriod()
	if core.Has(t.config.Self.Name) {
		period = BasePingPeriod
	}
	fullMesh := !t.IsLarge()
	var targets, nonCore []PeerAddress
	addresses := value.NewSet(t.config.Self.Address)
	for _, name := range t.sortedNames() {
		k := t.members[name]
		addresses.Add(k.Address)
		address := PeerAddress{Name: name, Address: k.Address}
		period := period
		if name == t.watched {
			period = min(period, WatchedPingPeriod)
		}
		switch {
		case now.Sub(k.lastPingAt) < time.Duration(recentPingShare*float64(period)):
		case fullMesh || core.Has(name) || name == t.watched:
			targets = append(targets, address)
		default:
			nonCore = append(nonCore, address)
		}
	}
	if now.Sub(t.rotatedAt) >= t.PingPeriod() {
		t.rotatedAt = now
		for range min(nonCoreTargets, len(nonCore)) {
			t.pingCursor++
			targets = append(targets, nonCore[t.pingCursor%len(nonCore)])
		}
	}
	targets = append(targets, t.probeTargets(now)...)
	for _, seed := range t.config.Seeds {
		if !addresses.Has(seed) {
			targets = append(targets, PeerAddress{Address: seed})
		}
	}
	return targets
}

// removeForgotten removes the members that have not been mentioned for
// forgetAfter.
func (t *Table) removeForgotten(now time.Time) {
	for name, k := range t.members {
		if now.Sub(k.lastMentionedAt) > forgetAfter {
			delete(t.members, name)
			t.names = nil
		}
	}
}

// KnownCount returns the number of known members, the own instance included.
func (t *Table) KnownCount() int { return len(t.members) + 1 }

// GossipEntries returns the gossip for the answer to a ping of a member that
// knows the given number of members and has the given digest of the core.
// Successive calls rotate through the reachable members, so that successive answers
// cover the whole fleet. A core member tells a member with another view of the core
// about the core members first; the digest is zero if it is not known. A member that
// knows less than half of the fleet gets more entries.
func (t *Table) GossipEntries(now time.Time, receiverKnows int, receiverCore uint16) []GossipEntry {
	limit := maxEntries
	var entries []GossipEntry
	add := func(k *memberState) {
		if age := now.Sub(k.lastSeenAt); age <= t.reachableFor() && len(entries) < limit {
			entries = append(entries, GossipEntry{Member: k.Member, Age: age, Leaving: k.leaving})
		}
	}
	core := t.Core(now)
	switch {
	case 2*receiverKnows < t.KnownCount():
		limit = maxEntriesForNewcomer
	case t.IsLarge() && !slices.Contains(core, t.config.Self.Name):
		limit, core = maxEntriesOutsideCore, nil
	case t.IsLarge() && receiverCore != 0 && receiverCore != t.CoreDigest(now):
		limit += len(core)
	default:
		core = nil
	}
	for _, m := range core {
		if k := t.members[m]; k != nil {
			add(k)
		}
	}
	names := t.sortedNames()
	for range names {
		if len(entries) == limit {
			break
		}
		t.entryCursor++
		add(t.members[names[t.entryCursor%len(names)]])
	}
	return entries
}
