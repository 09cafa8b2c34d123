// Package replica keeps an instance's copy of the records that the platform
// publishes. Instances forward records to each other, so that one that cannot
// reach the platform still receives changes. A stored record is only ever
// replaced by one with a higher revision.
package replica

import (
	"cmp"
	"slices"
	"time"

	"anvilcross/kernel/value"
)

// Revision is the platform's change counter.
type Revision int64

// Record is one published record, or its removal.
type Record struct {
	Key      string   `json:"key"`
	Revision Revision `json:"revision"`
	Value    []byte   `json:"value,omitempty"`
	Removed  bool     `json:"removed,omitempty"`
}

// removalRetention is how long a removal is kept for instances that have not
// received it. An instance that has missed updates for that long has already
// read the full list of records from the platform.
const removalRetention = time.Minute

type entry struct {
	record    Record
	appliedAt time.Time
}

// Store is an instance's copy of the published records.
type Store struct {
	entries map[string]*entry
	asOf    Revision
}

// NewStore returns an empty copy.
func NewStore() *Store { return &Store{entries: map[string]*entry{}} }

// AsOf returns the revision up to which the copy is complete.
func (s *Store) AsOf() Revision { return s.asOf }

// Count returns the number of records, without removals.
func (s *Store) Count() int {
	count := 0
	for _, e := range s.entries {
		if !e.record.Removed {
			count++
		}
	}
	return count
}

// Apply stores the records whose revision is higher than the stored one and
// returns them. With them the copy is complete up to the revision asOf.
func (s *Store) Apply(now time.Time, records []Record, asOf Revision) []Record {
	var applied []Record
	for _, r := range records {
		e := s.entries[r.Key]
		if e != nil && e.record.Revision >= r.Revision {
			continue
		}
		s.entries[r.Key] = &entry{record: r, appliedAt: now}
		applied = append(applied, r)
	}
	s.asOf = max(s.asOf, asOf)
	s.purgeRemoved(now)
	return applied
}

// ApplyFullList applies the full list of records, which is complete up to the
// revision asOf, and returns the changes. Stored records that it does not contain
// become removals, unless they are newer than asOf.
func (s *Store) ApplyFullList(now time.Time, records []Record, asOf Revision) []Record {
	listed := value.NewSet[string]()
	for _, r := range records {
		listed.Add(r.Key)
	}
	changes := records
	for _, key := range value.SortedKeys(s.entries) {
		e := s.entries[key]
		if !listed.Has(key) && !e.record.Removed && e.record.Revision <= asOf {
			changes = append(changes, Record{Key: key, Revision: asOf, Removed: true})
		}
	}
	return s.Apply(now, changes, asOf)
}

// ChangesSince returns the records with a higher revision than after, in the
// order of their revisions, and the revision up to which they are complete. It
// returns at most limit records, plus those that share the last one's revision.
func (s *Store) ChangesSince(after Revision, limit int) ([]Record, Revision) {
	var records []Record
	for _, key := range value.SortedKeys(s.entries) {
		if r := s.entries[key].record; r.Revision > after {
			records = append(records, r)
		}
	}
	slices.SortStableFunc(records, func(x, y Record) int { return cmp.Compare(x.Revision, y.Revision) })
	if len(records) <= limit {
		return records, s.asOf
	}
	end := limit
	for end < len(records) && records[end].Revision == records[limit-1].Revision {
		end++
	}
	return records[:end], min(records[end-1].Revision, s.asOf)
}

// purgeRemoved drops the removals that are older than removalRetention.
func (s *Store) purgeRemoved(now time.Time) {
	for key, e := range s.entries {
		if e.record.Removed && now.Sub(e.appliedAt) > removalRetention {
			delete(s.entries, key)
		}
	}
}
