// Package membership finds the other entry instances and tells which of them
// are within reach. It starts from seed addresses, learns further members from
// pings, and counts a member as alive while its messages arrive.
package membership

import (
	"time"

	"anvilcross/kernel/ident"
	"anvilcross/kernel/value"
)

const (
	// PingPeriod is the time between two pings to a member.
	PingPeriod = 200 * time.Millisecond
	// aliveFor is how long a member counts as alive after its last message:
	// four pings, so that three lost ones do not hand its work to another.
	aliveFor = 800 * time.Millisecond
	// keepSilent is how long a silent member is still pinged and named to
	// others, since a cut may end.
	keepSilent = 90 * time.Second
	// maxNamed bounds the members named in one ping.
	maxNamed = 12
)

// Member is an instance as others see it.
type Member struct {
	Name        ident.Instance    `json:"name"`
	Address     string            `json:"address"`
	DataCentre  ident.DataCentre  `json:"dataCentre"`
	Incarnation ident.Incarnation `json:"incarnation"`
}

type known struct {
	Member
	heard time.Time
	// named is when another member last spoke of this one.
	named   time.Time
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
	next    int
	leaving bool
}

// NewTable returns a table that knows the own instance only.
func NewTable(c Config) *Table {
	return &Table{config: c, members: map[ident.Instance]*known{}}
}

// SetSeeds replaces the seed addresses.
func (t *Table) SetSeeds(seeds []string) { t.config.Seeds = seeds }

// Leave takes the own instance out of Owner: it is stopping.
func (t *Table) Leave() { t.leaving = true }

// Self returns the own member.
func (t *Table) Self() Member { return t.config.Self }

// Heard takes in that a member sent a message. It returns true when the
// member is new, came back or was replaced.
func (t *Table) Heard(now time.Time, m Member, leaving bool) bool {
	if m.Name == t.config.Self.Name {
		return false
	}
	k := t.members[m.Name]
	news := k == nil || k.Incarnation != m.Incarnation || now.Sub(k.heard) > aliveFor
	if k == nil {
		k = &known{}
		t.members[m.Name] = k
	}
	k.Member = m
	k.heard = now
	k.leaving = leaving
	return news
}

// Named takes in members that another one spoke of.
func (t *Table) Named(now time.Time, members []Member) {
	for _, m := range members {
		if m.Name == t.config.Self.Name {
			continue
		}
		k := t.members[m.Name]
		if k == nil {
			t.members[m.Name] = &known{Member: m, named: now}
			continue
		}
		k.named = now
	}
}

// Unreachable takes in that a message to a member could not be delivered.
func (t *Table) Unreachable(name ident.Instance) {
	if k := t.members[name]; k != nil {
		k.heard = time.Time{}
	}
}

// Reachable reports whether a member is within reach.
func (t *Table) Reachable(now time.Time, name ident.Instance) bool {
	if name == t.config.Self.Name {
		return true
	}
	k := t.members[name]
	return k != nil && now.Sub(k.heard) <= aliveFor
}

// Alive reports whether a member is within reach and not leaving.
func (t *Table) Alive(now time.Time, name ident.Instance) bool {
	k := t.members[name]
	return t.Reachable(now, name) && (k == nil || !k.leaving)
}

// Incarnation returns the process of a member that was last heard.
func (t *Table) Incarnation(name ident.Instance) ident.Incarnation {
	if name == t.config.Self.Name {
		return t.config.Self.Incarnation
	}
	if k := t.members[name]; k != nil {
		return k.Incarnation
	}
	return 0
}

// DataCentre returns a member's data centre.
func (t *Table) DataCentre(name ident.Instance) ident.DataCentre {
	if k := t.members[name]; k != nil {
		return k.DataCentre
	}
	return t.config.Self.DataCentre
}

// Living returns the members within reach, the own one included, by name.
func (t *Table) Living(now time.Time) []ident.Instance {
	names := []ident.Instance{t.config.Self.Name}
	for name := range t.members {
		if t.Alive(now, name) {
			names = append(names, name)
		}
	}
	return value.NewSet(names...).Sorted()
}

// Owner returns the living member with the highest rendezvous score for a
// key, so that instances with the same view agree without a word.
func (t *Table) Owner(now time.Time, key string) ident.Instance {
	best, bestScore := t.config.Self.Name, uint64(0)
	if !t.leaving {
		bestScore = ident.Score(key, string(best))
	}
	for name := range t.members {
		if !t.Alive(now, name) {
			continue
		}
		score := ident.Score(key, string(name))
		if score > bestScore || score == bestScore && name > best {
			best, bestScore = name, score
		}
	}
	return best
}

// Address is where to reach an instance; the name is empty for a seed that
// has not been heard yet.
type Address struct {
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

// Targets returns whom to ping: the known members that are not forgotten, and
// the seeds that none of them is.
func (t *Table) Targets(now time.Time) []Address {
	var targets []Address
	addresses := value.NewSet(t.config.Self.Address)
	for _, name := range value.SortedKeys(t.members) {
		k := t.members[name]
		if now.Sub(k.heard) > keepSilent && now.Sub(k.named) > keepSilent {
			delete(t.members, name)
			continue
		}
		addresses.Add(k.Address)
		targets = append(targets, Address{Name: name, Address: k.Address})
	}
	for _, seed := range t.config.Seeds {
		if !addresses.Has(seed) {
			targets = append(targets, Address{Address: seed})
		}
	}
	return targets
}

// Sample returns members to name in a ping. They rotate through the pings, so that a large fleet is named
// completely within a few of them.
func (t *Table) Sample(now time.Time) []Member {
	names := value.SortedKeys(t.members)
	var sample []Member
	for i := 0; i < len(names) && len(sample) < maxNamed; i++ {
		k := t.members[names[(t.next+i)%len(names)]]
		if now.Sub(k.heard) <= aliveFor {
			sample = append(sample, k.Member)
		}
	}
	t.next += maxNamed
	return sample
}
