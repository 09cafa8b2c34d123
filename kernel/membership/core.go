package membership

import (
	"cmp"
	"slices"
	"time"

	"anvilcross/kernel/ident"
	"anvilcross/kernel/value"
)

// sortByRank returns the members sorted by capacity class, highest first, and
// within a class by their rendezvous score for the key, so that instances with
// the same view of the fleet agree on the order without coordination.
func (t *Table) sortByRank(names []ident.Instance, key string) []ident.Instance {
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

// availableMembers returns the members that can take on work for others: those
// that are alive, without the own instance once it is leaving.
func (t *Table) availableMembers(now time.Time) []ident.Instance {
	alive := t.AliveMembers(now)
	if t.leaving {
		alive = slices.DeleteFunc(alive, func(name ident.Instance) bool { return name == t.config.Self.Name })
	}
	return alive
}

// Core returns the core members by rank: the first of each data centre and,
// beside them, the highest-ranked of all. In a small fleet these are all
// available members. The caller must not modify the result.
func (t *Table) Core(now time.Time) []ident.Instance {
	if t.core != nil && now.Sub(t.coreCachedAt) < time.Duration(coreCacheShare*float64(t.PingPeriod())) {
		return t.core
	}
	ranks := t.sortByRank(t.availableMembers(now), "core")
	if len(ranks) > fullMeshMembers {
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
			if len(core) < minCoreMembers || len(core) < targetCoreMembers && t.CapacityClass(name) == best {
				core = append(core, name)
			}
		}
		ranks = t.sortByRank(core, "core")
	}
	t.core, t.coreCachedAt = ranks, now
	return ranks
}

// RecordMention records that another instance has just named a member as one that
// it hears from.
func (t *Table) RecordMention(now time.Time, name ident.Instance) {
	k := t.members[name]
	if k == nil || now.Sub(k.unreachableAt) < ignoreGossipFor {
		return
	}
	if now.Sub(k.lastSeenAt) > t.reachableFor() {
		t.core = nil
	}
	k.lastSeenAt, k.lastMentionedAt = now, now
}

// CoreDigest returns a hash of the names of the core members. Instances with the
// same view of the core have the same digest. It is short, since it is part of every
// ping.
func (t *Table) CoreDigest(now time.Time) uint16 {
	digest := uint64(0)
	for _, name := range t.Core(now) {
		digest ^= ident.HashPair("coreDigest", string(name))
	}
	return uint16(digest)
}

// InCore reports whether a member belongs to the core.
func (t *Table) InCore(now time.Time, name ident.Instance) bool {
	return slices.Contains(t.Core(now), name)
}

// Owner returns the core member with the highest rank for a key, in the given
// data centre unless that is empty. If there is none, it returns the own
// instance or, for another data centre than the own, an empty name.
func (t *Table) Owner(now time.Time, key string, in ident.DataCentre) ident.Instance {
	return t.OwnerExcept(now, key, in, func(ident.Instance) bool { return false })
}

// OwnerExcept returns the core member with the highest rank for a key among those that are
// not excluded, or the same as Owner if all are.
func (t *Table) OwnerExcept(now time.Time, key string, in ident.DataCentre, excluded func(ident.Instance) bool) ident.Instance {
	core := t.Core(now)
	if in != "" {
		core = slices.DeleteFunc(slices.Clone(core), func(name ident.Instance) bool { return t.DataCentre(name) != in })
	}
	if len(core) == 0 {
		if in != "" && in != t.config.Self.DataCentre {
			return ""
		}
		return t.config.Self.Name
	}
	ranks := t.sortByRank(core, key)
	for _, name := range ranks {
		if !excluded(name) {
			return name
		}
	}
	return ranks[0]
}

// Ranked returns the core members with the highest ranks for a key, at most count.
func (t *Table) Ranked(now time.Time, key string, count int) []ident.Instance {
	ranks := t.sortByRank(t.Core(now), key)
	return ranks[:min(count, len(ranks))]
}

// FirstPerDataCentre returns the highest-ranked core member of each data centre,
// and further core members by rank until there are minCount, if there are so
// many.
func (t *Table) FirstPerDataCentre(now time.Time, minCount int) []ident.Instance {
	var first, rest []ident.Instance
	centres := value.NewSet[ident.DataCentre]()
	for _, name := range t.Core(now) {
		if centre := t.DataCentre(name); !centres.Has(centre) {
			centres.Add(centre)
			first = append(first, name)
			continue
		}
		rest = append(rest, name)
	}
	return append(first, rest[:min(max(minCount-len(first), 0), len(rest))]...)
}

// RankedLocalMembers returns the available members of the own data centre, sorted
// by their rank for a key.
func (t *Table) RankedLocalMembers(now time.Time, key string) []ident.Instance {
	local := slices.DeleteFunc(t.availableMembers(now), func(name ident.Instance) bool {
		return t.DataCentre(name) != t.config.Self.DataCentre
	})
	return t.sortByRank(local, key)
}
