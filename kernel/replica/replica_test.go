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
			records, asOf := full.ChangesSince(other.AsOf(), 200)
			other.Apply(start, records, asOf)
		}
		if other.AsOf() != full.AsOf() || len(other.entries) != 450 {
			t.Fatalf("as of %d with %d records, want %d with 450", other.AsOf(), len(other.entries), full.AsOf())
		}
	})
	t.Run("records that changed together are not parted", func(t *testing.T) {
		s := NewStore()
		s.Apply(start, []Record{{Key: "a", Revision: 1}, {Key: "b", Revision: 2}, {Key: "c", Revision: 2}, {Key: "d", Revision: 3}}, 3)
		records, asOf := s.ChangesSince(0, 2)
		if len(records) != 3 || asOf != 2 {
			t.Fatalf("%d records as of %d", len(records), asOf)
		}
	})
}
