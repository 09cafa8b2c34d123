package replica

import (
	"fmt"
	"testing"
	"time"
)

var start = time.Unix(1_700_000_000, 0)

func newFilledStore(count int) *Store {
	s := NewStore()
	var records []Record
	for n := range count {
		// The keys are not in the order of their revisions.
		records = append(records, Record{Key: fmt.Sprintf("key-%03d", (n*7)%count), Revision: Revision(n + 1)})
	}
	s.Apply(start, records, Revision(count))
	return s
}

func TestChangesSince(t *testing.T) {
	t.Run("a copy that is far behind completes page by page", func(t *testing.T) {
		full, other := newFilledStore(450), NewStore()
		for range 3 {
			other.ApplyDelta(start, full.ChangesSince(other.AsOf(), 200))
		}
		if other.AsOf() != full.AsOf() || len(other.entries) != 450 {
			t.Fatalf("as of %d with %d records, want %d with 450", other.AsOf(), len(other.entries), full.AsOf())
		}
	})
	t.Run("records that changed together are not parted", func(t *testing.T) {
		s := NewStore()
		s.Apply(start, []Record{{Key: "a", Revision: 1}, {Key: "b", Revision: 2}, {Key: "c", Revision: 2}, {Key: "d", Revision: 3}}, 3)
		if d := s.ChangesSince(0, 2); len(d.Records) != 3 || d.AsOf != 2 {
			t.Fatalf("%d records as of %d", len(d.Records), d.AsOf)
		}
	})
}

// A copy that was made from a full list does not know the removals before it.
func TestRemovalsBeforeAFullList(t *testing.T) {
	kept := Record{Key: "kept", Revision: 2}
	newMember := func() *Store {
		s := NewStore()
		s.ApplyFullList(start, []Record{{Key: "gone", Revision: 1}, kept}, 2)
		return s
	}
	newReader := func() *Store {
		s := NewStore()
		s.ApplyFullList(start, []Record{kept}, 4)
		return s
	}
	wantRecords := func(t *testing.T, s *Store, want int, asOf Revision) {
		t.Helper()
		if s.Count() != want || s.AsOf() != asOf {
			t.Fatalf("%d records as of %d, want %d as of %d", s.Count(), s.AsOf(), want, asOf)
		}
	}
	t.Run("reach a copy that is behind the list", func(t *testing.T) {
		m := newMember()
		m.ApplyDelta(start, newReader().ChangesSince(m.AsOf(), 200))
		wantRecords(t, m, 1, 4)
	})
	t.Run("reach it in parts", func(t *testing.T) {
		m, r := newMember(), newReader()
		r.Apply(start, []Record{{Key: "a", Revision: 5}, {Key: "b", Revision: 6}}, 6)
		for m.AsOf() < r.AsOf() {
			m.ApplyDelta(start, r.ChangesSince(m.AsOf(), 1))
		}
		wantRecords(t, m, 3, 6)
	})
	t.Run("are not undone by a copy from before the list", func(t *testing.T) {
		r := newReader()
		r.ApplyDelta(start, newMember().ChangesSince(0, 200))
		wantRecords(t, r, 1, 4)
	})
	t.Run("are not undone by a reply that was on its way", func(t *testing.T) {
		r := newReader()
		r.Apply(start, []Record{{Key: "gone", Revision: 3}}, 3)
		wantRecords(t, r, 1, 4)
	})
	t.Run("a copy that has received only a part promises nothing", func(t *testing.T) {
		r, part := newReader(), NewStore()
		r.Apply(start, []Record{{Key: "a", Revision: 5}}, 5)
		part.ApplyDelta(start, r.ChangesSince(0, 1))
		if d := part.ChangesSince(0, 200); d.AsOf != 0 || d.LiveAsOf != 0 {
			t.Fatalf("complete up to %d, keys of revision %d", d.AsOf, d.LiveAsOf)
		}
	})
	t.Run("records from an earlier version promise nothing", func(t *testing.T) {
		s := NewStore()
		s.ApplyDelta(start, Delta{Records: []Record{kept}, AsOf: 4})
		if d := s.ChangesSince(0, 200); d.AsOf != 0 {
			t.Fatalf("complete up to %d", d.AsOf)
		}
	})
	t.Run("purged removals reach a copy that lacks them", func(t *testing.T) {
		full, m := newMember(), newMember()
		full.Apply(start, []Record{{Key: "gone", Revision: 3, Removed: true}}, 3)
		full.Apply(start.Add(2*removalRetention), nil, 5)
		m.ApplyDelta(start, full.ChangesSince(m.AsOf(), 200))
		wantRecords(t, m, 1, 5)
	})
}
