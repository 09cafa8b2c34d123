// Package membership finds the other entry instances and tells which of them
// are within reach. It starts from seed addresses and learns further members
// from pings. A small fleet pings all its members. In a larger one everybody
// pings the same few core members, which have the most capacity, and some
// others in turn; what a member has heard of the rest travels in its pings.
package membership

import (
	"cmp"
	"math"
	"slices"
	"time"

	"anvilcross/kernel/ident"
	"anvilcross/kernel/value"
)

const (
	// BasePingPeriod is the time between two pings to a member in a small fleet,
	// and between core members.
	BasePingPeriod = 200 * time.Millisecond
	// maxPeriod bounds the time between two pings to a core member.
	maxPeriod = time.Second
	// periodMembers is the size of a fleet from which on that time grows, so
	// that the pings that a core member gets do not.
	periodMembers = 32
	// alivePings is how many pings a member may miss before it counts as gone,
	// so that a few lost ones do not hand its work to another.
	alivePings = 4
	// heardLately is the part of the ping period within which a member that
	// was heard needs no ping: its own ping was answered.
	heardLately = 0.75
	// coreMembers is the number of core members, and leastCore how many there
	// are even if some have less capacity than the best. A fleet of up to
	// meshMembers consists of core members only.
	coreMembers = 8
	leastCore   = 4
	meshMembers = 12
	// othersInTurn is how many members beside the core are pinged in turn.
	othersInTurn = 2
	// maxTurn bounds the place from which an instance takes others in turn: the
	// largest fleet that this is meant for.
	maxTurn = 1000
	// keepSilent is how long a silent member is still pinged and named to
	// others, since a cut may end.
	keepSilent = 90 * time.Second
	// distrust is how long after a message could not be delivered to a member
	// the word of others that it lives is not believed.
	distrust = 2 * time.Second
	// maxNamed bounds the members named in one answer to a ping; a member that
	// knows less than half of the fleet gets maxIntroduced of them.
	maxNamed      = 3
	maxIntroduced = 40
	// viewShare is the part of the ping period for which the list of core
	// members is used before it is worked out again.
	viewShare = 0.5
)

// Member is an instance as others see it.
type Member struct {
	Name        ident.Instance    `json:"name"`
	Address     string            `json:"address"`
	DataCentre  ident.DataCentre  `json:"dataCentre"`
	Incarnation ident.Incarnation `json:"incarnation"`
	// Capacity is what the instance can take on for others, against other
	// members: its processor share or its link, whichever binds.
	Capacity float64 `json:"capacity,omitempty"`
}

// class ranks members by capacity: one class for each doubling.
func (m Member) class() int {
	if m.Capacity <= 0 {
		return 0
	}
	return int(math.Floor(math.Log2(m.Capacity)))
}

// GossipEntry is what one member tells others of a third.
type GossipEntry struct {
	Member
	// Age is how long ago the teller, or whom it heard it from, heard from
	// the member.
	Age     time.Duration `json:"age"`
	Leaving bool          `json:"leaving,omitempty"`
}

type known struct {
	Member
	// heard is the last sign of life, own or told; zero after a failure.
	heard time.Time
	// direct is when the member itself was last heard.
	direct time.Time
	// failed is when a message could not be delivered; zero once it was heard.
	failed time.Time
	// spoken is when anybody last spoke of the member.
	spoken  time.Time
	leaving bool
}

// Config sets up a Table.
type Config struct {
	Self  Member
	Seeds []string
}

// Table is the set of known members.
type Table struct {
	config  Config
	members map[ident.Instance]*known
	named   int
	turn    int
	turnAt  time.Time
	leaving bool

	core   []ident.Instance
	coreAt time.Time
}

// NewTable returns a table that knows the own instance only.
func NewTable(c Config) *Table {
	// Instances take the others in turn from different places on.
	first := ident.HashPair("turn", string(c.Self.Name)) % maxTurn
	return &Table{config: c, members: map[ident.Instance]*known{}, turn: int(first), named: int(first)}
}

// SetSeeds replaces the seed addresses.
func (t *Table) SetSeeds(seeds []string) { t.config.Seeds = seeds }

// Leave takes the own instance out of the core: it is stopping.
func (t *Table) Leave() {
	t.leaving = true
	t.core = nil
}

// Self returns the own member.
func (t *Table) Self() Member { return t.config.Self }

// PingPeriod is the time between two pings to a core member from outside the core.
func (t *Table) PingPeriod() time.Duration {
	size := t.KnownCount()
	return min(max(BasePingPeriod, BasePingPeriod*time.Duration(size)/periodMembers), maxPeriod)
}

// IsLarge reports whether there are members outside the core.
func (t *Table) IsLarge() bool { return len(t.members) >= meshMembers }

// aliveFor is how long a member counts as alive after its last sign of life.
func (t *Table) aliveFor() time.Duration { return alivePings * t.PingPeriod() }

// RecordPing takes in that a member sent a message. It returns true when the
// member is new, came back or was replaced.
func (t *Table) RecordPing(now time.Time, m Member, leaving bool) bool {
	if m.Name == t.config.Self.Name {
		return false
	}
	k := t.members[m.Name]
	news := k == nil || k.Incarnation != m.Incarnation || now.Sub(k.heard) > t.aliveFor()
	if k == nil {
		k = &known{}
		t.members[m.Name] = k
	}
	if news || k.leaving != leaving {
		t.core = nil
	}
	k.Member = m
	k.heard, k.direct, k.spoken, k.failed = now, now, now, time.Time{}
	k.leaving = leaving
	return news
}

// MergeGossip takes in what another member has heard of others.
func (t *Table) MergeGossip(now time.Time, sightings []GossipEntry) {
	for _, s := range sightings {
		if s.Name == t.config.Self.Name {
			continue
		}
		k := t.members[s.Name]
		if k == nil {
			k = &known{Member: s.Member}
			t.members[s.Name] = k
		}
		k.spoken = now
		at := now.Add(-s.Age)
		if !at.After(k.heard) || now.Sub(k.failed) < distrust {
			continue
		}
		k.Member, k.heard, k.leaving = s.Member, at, s.Leaving
	}
}

// MarkUnreachable takes in that a message to a member could not be delivered.
func (t *Table) MarkUnreachable(now time.Time, name ident.Instance) {
	if k := t.members[name]; k != nil {
		k.heard, k.failed = time.Time{}, now
		t.core = nil
	}
}

// Reachable reports whether a member is within reach.
func (t *Table) Reachable(now time.Time, name ident.Instance) bool {
	if name == t.config.Self.Name {
		return true
	}
	k := t.members[name]
	return k != nil && now.Sub(k.heard) <= t.aliveFor()
}

// Alive reports whether a member is within reach and not leaving.
func (t *Table) Alive(now time.Time, name ident.Instance) bool {
	k := t.members[name]
	return t.Reachable(now, name) && (k == nil || !k.leaving)
}

// Incarnation returns the process of a member that was last heard.
func (t *Table) Incarnation(name ident.Instance) ident.Incarnation {
	return t.member(name).Incarnation
}

// DataCentre returns a member's data centre.
func (t *Table) DataCentre(name ident.Instance) ident.DataCentre { return t.member(name).DataCentre }

// CapacityClass ranks a member by its capacity.
func (t *Table) CapacityClass(name ident.Instance) int { return t.member(name).class() }

// member returns what is known of a member, the own instance included.
func (t *Table) member(name ident.Instance) Member {
	if k := t.members[name]; k != nil {
		return k.Member
	}
	if name == t.config.Self.Name {
		return t.config.Self
	}
	return Member{}
}

// AliveMembers returns the members within reach, the own one included, by name.
func (t *Table) AliveMembers(now time.Time) []ident.Instance {
	names := []ident.Instance{t.config.Self.Name}
	for name := range t.members {
		if t.Alive(now, name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// ranked sorts members by capacity and, within a class, by rendezvous score,
// so that instances with the same view agree without a word.
func (t *Table) ranked(names []ident.Instance, key string) []ident.Instance {
	type rank struct {
		name  ident.Instance
		class int
		score uint64
	}
	ranks := make([]rank, len(names))
	for i, name := range names {
		ranks[i] = rank{name, t.CapacityClass(name), ident.HashPair(key, string(name))}
	}
	slices.SortFunc(ranks, func(x, y rank) int {
		return cmp.Or(cmp.Compare(y.class, x.class), cmp.Compare(y.score, x.score), cmp.Compare(x.name, y.name))
	})
	sorted := make([]ident.Instance, len(ranks))
	for i, r := range ranks {
		sorted[i] = r.name
	}
	return sorted
}

// available returns the members that can take work on for others.
func (t *Table) available(now time.Time) []ident.Instance {
	living := t.AliveMembers(now)
	if t.leaving {
		living = slices.DeleteFunc(living, func(name ident.Instance) bool { return name == t.config.Self.Name })
	}
	return living
}

// Core returns the core members, by rank: the first of each data centre, and
// the first of all beside them. All members of a small fleet are core members.
func (t *Table) Core(now time.Time) []ident.Instance {
	if t.core != nil && now.Sub(t.coreAt) < time.Duration(viewShare*float64(t.PingPeriod())) {
		return t.core
	}
	ranks := t.ranked(t.available(now), "core")
	if len(ranks) > meshMembers {
		var core, rest []ident.Instance
		centres := value.NewSet[ident.DataCentre]()
		for _, name := range ranks {
			if centre := t.DataCentre(name); !centres.Has(centre) {
				centres.Add(centre)
				core = append(core, name)
				continue
			}
			rest = append(rest, name)
		}
		best := t.CapacityClass(ranks[0])
		for _, name := range rest {
			if len(core) < leastCore || len(core) < coreMembers && t.CapacityClass(name) == best {
				core = append(core, name)
			}
		}
		ranks = t.ranked(core, "core")
	}
	t.core, t.coreAt = ranks, now
	return ranks
}

// InCore reports whether a member belongs to the core.
func (t *Table) InCore(now time.Time, name ident.Instance) bool {
	return slices.Contains(t.Core(now), name)
}

// Owner returns the core member with the highest rank for a key.
func (t *Table) Owner(now time.Time, key string) ident.Instance {
	core := t.Core(now)
	if len(core) == 0 {
		return t.config.Self.Name
	}
	return t.ranked(core, key)[0]
}

// FirstPerDataCentre returns the first core member of each data centre by rank, and
// further ones until there are as many as asked for.
func (t *Table) FirstPerDataCentre(now time.Time, least int) []ident.Instance {
	var firsts, rest []ident.Instance
	centres := value.NewSet[ident.DataCentre]()
	for _, name := range t.Core(now) {
		if centre := t.DataCentre(name); !centres.Has(centre) {
			centres.Add(centre)
			firsts = append(firsts, name)
			continue
		}
		rest = append(rest, name)
	}
	return append(firsts, rest[:min(max(least-len(firsts), 0), len(rest))]...)
}

// RankedLocalMembers returns the living members of the own data centre by rank for a key.
func (t *Table) RankedLocalMembers(now time.Time, key string) []ident.Instance {
	near := slices.DeleteFunc(t.available(now), func(name ident.Instance) bool {
		return t.DataCentre(name) != t.config.Self.DataCentre
	})
	return t.ranked(near, key)
}

// PeerAddress is where to reach an instance; the name is empty for a seed that
// has not been heard yet.
type PeerAddress struct {
	Name    ident.Instance
	Address string
}

// Address returns where a member is reached.
func (t *Table) Address(name ident.Instance) (string, bool) {
	k := t.members[name]
	if k == nil {
		return "", false
	}
	return k.Address, true
}

// AllAddresses returns where all members are reached that are not forgotten.
func (t *Table) AllAddresses() []PeerAddress {
	var all []PeerAddress
	for _, name := range value.SortedKeys(t.members) {
		all = append(all, PeerAddress{Name: name, Address: t.members[name].Address})
	}
	return all
}

// PingTargets returns whom to ping: core members that were not heard lately, some
// others in turn, and the seeds that no known member is.
func (t *Table) PingTargets(now time.Time) []PeerAddress {
	t.forget(now)
	core := value.NewSet(t.Core(now)...)
	period := t.PingPeriod()
	if core.Has(t.config.Self.Name) {
		period = BasePingPeriod
	}
	small := !t.IsLarge()
	var targets, others []PeerAddress
	addresses := value.NewSet(t.config.Self.Address)
	for _, name := range value.SortedKeys(t.members) {
		k := t.members[name]
		addresses.Add(k.Address)
		address := PeerAddress{Name: name, Address: k.Address}
		switch {
		case now.Sub(k.direct) < time.Duration(heardLately*float64(period)):
		case small || core.Has(name):
			targets = append(targets, address)
		default:
			others = append(others, address)
		}
	}
	if now.Sub(t.turnAt) >= t.PingPeriod() {
		t.turnAt = now
		for range min(othersInTurn, len(others)) {
			t.turn++
			targets = append(targets, others[t.turn%len(others)])
		}
	}
	for _, seed := range t.config.Seeds {
		if !addresses.Has(seed) {
			targets = append(targets, PeerAddress{Address: seed})
		}
	}
	return targets
}

// forget drops the members that nobody has spoken of for long.
func (t *Table) forget(now time.Time) {
	for name, k := range t.members {
		if now.Sub(k.spoken) > keepSilent {
			delete(t.members, name)
		}
	}
}

// KnownCount returns the number of known members, the own instance included.
func (t *Table) KnownCount() int { return len(t.members) + 1 }

// GossipEntries returns members to name in the answer to a member that knows so
// many of them. They rotate, so that a large fleet is named completely within
// a few answers. A member that knows few is told of the core first.
func (t *Table) GossipEntries(now time.Time, itKnows int) []GossipEntry {
	most := maxNamed
	var sightings []GossipEntry
	name := func(k *known) {
		if age := now.Sub(k.heard); age <= t.aliveFor() && len(sightings) < most {
			sightings = append(sightings, GossipEntry{Member: k.Member, Age: age, Leaving: k.leaving})
		}
	}
	if 2*itKnows < t.KnownCount() {
		most = maxIntroduced
		for _, m := range t.Core(now) {
			if k := t.members[m]; k != nil {
				name(k)
			}
		}
	}
	names := value.SortedKeys(t.members)
	for range names {
		if len(sightings) == most {
			break
		}
		t.named++
		name(t.members[names[t.named%len(names)]])
	}
	return sightings
}
