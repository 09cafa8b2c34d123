// Package replica keeps an instance's copy of the records that the platform
// publishes. Instances pass records on to each other, so that one that cannot
// reach the platform still learns of changes. A record only ever moves to a
// higher revision.
package replica

import (
	"cmp"
	"slices"
	"time"

	"anvilcross/kernel/value"
)

// Revision is the platform's change counter.
type Revision int64

// Record is one published record, or the fact that it is gone.
type Record struct {
	Key      string   `json:"key"`
	Revision Revision `json:"revision"`
	Value    []byte   `json:"value,omitempty"`
	Removed  bool     `json:"removed,omitempty"`
}

// keepRemoved is how long a removal is remembered for instances that have
// not heard of it; they list the platform anew after a shorter silence.
const keepRemoved = time.Minute

type entry struct {
	record Record
	at     time.Time
}

// Store is a copy of the published records.
type Store struct {
	entries map[string]*entry
	asOf    Revision
}

// NewStore returns an empty copy.
func NewStore() *Store { return &Store{entries: map[string]*entry{}} }

// AsOf is the revision up to which the copy is complete.
func (s *Store) AsOf() Revision { return s.asOf }

// Apply takes records in and returns those that were news. The copy is
// complete up to the given revision afterwards.
func (s *Store) Apply(now time.Time, records []Record, asOf Revision) []Record {
	var news []Record
	for _, r := range records {
		e := s.entries[r.Key]
		if e != nil && e.record.Revision >= r.Revision {
			continue
		}
		s.entries[r.Key] = &entry{record: r, at: now}
		news = append(news, r)
	}
	s.asOf = max(s.asOf, asOf)
	s.forget(now)
	return news
}

// ApplyListing takes a full listing in: what it does not name is gone. Records
// that are newer than the listing stay.
func (s *Store) ApplyListing(now time.Time, records []Record, asOf Revision) []Record {
	listed := value.NewSet[string]()
	for _, r := range records {
		listed.Add(r.Key)
	}
	all := records
	for _, key := range value.SortedKeys(s.entries) {
		e := s.entries[key]
		if !listed.Has(key) && !e.record.Removed && e.record.Revision <= asOf {
			all = append(all, Record{Key: key, Revision: asOf, Removed: true})
		}
	}
	return s.Apply(now, all, asOf)
}

// ChangesSince returns the records above a revision in the order of their changes, at
// most the given number and those that changed together with the last one, and
// the revision up to which they are complete.
func (s *Store) ChangesSince(after Revision, most int) ([]Record, Revision) {
	var records []Record
	for _, key := range value.SortedKeys(s.entries) {
		if r := s.entries[key].record; r.Revision > after {
			records = append(records, r)
		}
	}
	slices.SortStableFunc(records, func(x, y Record) int { return cmp.Compare(x.Revision, y.Revision) })
	if len(records) <= most {
		return records, s.asOf
	}
	end := most
	for end < len(records) && records[end].Revision == records[most-1].Revision {
		end++
	}
	return records[:end], min(records[end-1].Revision, s.asOf)
}

func (s *Store) forget(now time.Time) {
	for key, e := range s.entries {
		if e.record.Removed && now.Sub(e.at) > keepRemoved {
			delete(s.entries, key)
		}
	}
}
