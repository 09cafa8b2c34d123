// Package replica keeps an instance's copy of the records that the platform
// publishes. Instances forward records to each other, so that one that cannot
// reach the platform still receives changes. A stored record is only ever
// replaced by one with a higher revision; revisions rise also when the platform's store
// was restored from a copy, since they contain its era.
package replica

import (
	"math"
	"slices"
	"time"

	"anvilcross/kernel/value"
)

// Record is one published record, or its removal.
type Record struct {
	Key      string   `json:"key"`
	Revision Revision `json:"revision"`
	Value    []byte   `json:"value,omitempty"`
	Removed  bool     `json:"removed,omitempty"`
}

// Change is a change of a record in the platform's history.
type Change struct {
	Record
	// Created is set if there was no such record before.
	Created bool
}

// removalRetention is how long a removal is kept for instances that have not
// received it. Later they get the keys of all records instead.
const removalRetention = time.Minute

type entry struct {
	record    Record
	appliedAt time.Time
}

// Store is an instance's copy of the published records.
type Store struct {
	entries map[string]*entry
	asOf    Revision
	// allRemovalsSince is the revision since which the copy has every removal. It
	// cannot know those before the first list that it was made from. While it is
	// above asOf, the copy does not have all records of any one revision.
	allRemovalsSince Revision
	// nextPurge is when the oldest removal has been kept for long enough.
	nextPurge time.Time
}

// unknownRevision stands for a revision that is not known.
const unknownRevision Revision = math.MaxInt64

// knownOr returns a revision, or another value if it is not known.
func knownOr(r, other Revision) Revision {
	if r == unknownRevision {
		return other
	}
	return r
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
	return s.store(now, s.withoutKnown(records), asOf)
}

// withoutKnown returns the records without those up to the revision to which this
// copy is complete. One of these that it does not have has been removed since.
func (s *Store) withoutKnown(records []Record) []Record {
	if s.asOf < s.allRemovalsSince {
		return records
	}
	var others []Record
	for _, r := range records {
		if r.Revision > s.asOf {
			others = append(others, r)
		}
	}
	return others
}

func (s *Store) store(now time.Time, records []Record, asOf Revision) []Record {
	var applied []Record
	for _, r := range records {
		e := s.entries[r.Key]
		if e != nil && e.record.Revision >= r.Revision {
			continue
		}
		s.entries[r.Key] = &entry{record: r, appliedAt: now}
		if r.Removed {
			s.keepUntil(now.Add(removalRetention))
		}
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
	if asOf > s.asOf || s.allRemovalsSince == unknownRevision {
		s.allRemovalsSince = max(asOf, knownOr(s.allRemovalsSince, 0))
	}
	if asOf < s.asOf {
		records = s.withoutKnown(records)
	}
	return s.store(now, slices.Concat(records, s.removalsOfOthers(listed, asOf)), asOf)
}

// purgeRemoved drops the removals that are older than removalRetention.
func (s *Store) purgeRemoved(now time.Time) {
	if s.nextPurge.IsZero() || !now.After(s.nextPurge) {
		return
	}
	s.nextPurge = time.Time{}
	for key, e := range s.entries {
		switch {
		case !e.record.Removed:
		case now.Sub(e.appliedAt) > removalRetention:
			delete(s.entries, key)
			s.allRemovalsSince = max(s.allRemovalsSince, e.record.Revision)
		default:
			s.keepUntil(e.appliedAt.Add(removalRetention))
		}
	}
}

// keepUntil lets a removal be kept until a time.
func (s *Store) keepUntil(end time.Time) {
	if s.nextPurge.IsZero() || end.Before(s.nextPurge) {
		s.nextPurge = end
	}
}
