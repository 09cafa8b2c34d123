package replica

import (
	"cmp"
	"slices"
	"time"

	"anvilcross/kernel/value"
)

// Delta is what one copy tells another that is complete up to the revision Base.
type Delta struct {
	Records []Record `json:"records,omitempty"`
	// The receiver is complete up to AsOf once it has applied the delta, if it was
	// up to Base. AsOf is zero if the sender cannot say so.
	Base Revision `json:"base"`
	AsOf Revision `json:"asOf"`
	// LiveKeys holds the keys of all records that exist at the revision LiveAsOf.
	// It is set if the sender may not know some removal after Base; LiveAsOf is
	// zero otherwise.
	LiveKeys []string `json:"liveKeys,omitempty"`
	LiveAsOf Revision `json:"liveAsOf,omitempty"`
}

// ChangesSince returns the delta for a copy that is complete up to the revision
// base. It has at most limit records, in the order of their revisions, plus those
// that share the last one's revision.
func (s *Store) ChangesSince(base Revision, limit int) Delta {
	d := Delta{Base: base}
	for _, key := range value.SortedKeys(s.entries) {
		if r := s.entries[key].record; r.Revision > base {
			d.Records = append(d.Records, r)
		}
	}
	slices.SortStableFunc(d.Records, func(x, y Record) int { return cmp.Compare(x.Revision, y.Revision) })
	asOf := s.asOf
	if len(d.Records) > limit {
		end := limit
		for end < len(d.Records) && d.Records[end].Revision == d.Records[limit-1].Revision {
			end++
		}
		asOf = min(asOf, d.Records[end-1].Revision)
		d.Records = d.Records[:end]
	}
	switch {
	case s.asOf < s.allRemovalsSince:
	case base < s.allRemovalsSince:
		d.AsOf, d.LiveKeys, d.LiveAsOf = asOf, s.liveKeys(), s.asOf
	default:
		d.AsOf = asOf
	}
	return d
}

// liveKeys returns the keys of the records that exist, sorted.
func (s *Store) liveKeys() []string {
	var live []string
	for _, key := range value.SortedKeys(s.entries) {
		if !s.entries[key].record.Removed {
			live = append(live, key)
		}
	}
	return live
}

// ApplyDelta applies what another copy sent, and returns the changes. If the delta
// leaves a gap, this copy remains complete up to the same revision as before.
func (s *Store) ApplyDelta(now time.Time, d Delta) []Record {
	records, asOf := s.withoutKnown(d.Records), Revision(0)
	if d.Base <= s.asOf {
		asOf = d.AsOf
		switch {
		case d.LiveAsOf > s.asOf:
			s.allRemovalsSince = max(d.LiveAsOf, knownOr(s.allRemovalsSince, 0))
		case s.asOf == 0 && d.AsOf > 0:
			// An instance of an earlier version sends no keys.
			s.allRemovalsSince = unknownRevision
		}
	}
	var removals []Record
	if d.LiveAsOf > 0 {
		removals = s.removalsOfOthers(value.NewSet(d.LiveKeys...), d.LiveAsOf)
	}
	return s.store(now, slices.Concat(records, removals), asOf)
}

// removalsOfOthers returns the removals of the records that are not among the keys
// of all records at the revision asOf.
func (s *Store) removalsOfOthers(live value.Set[string], asOf Revision) []Record {
	var removals []Record
	for _, key := range value.SortedKeys(s.entries) {
		r := s.entries[key].record
		if !live.Has(key) && !r.Removed && r.Revision <= asOf {
			removals = append(removals, Record{Key: key, Revision: asOf, Removed: true})
		}
	}
	return removals
}
