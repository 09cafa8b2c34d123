package endpoints

import (
	"fmt"
	"testing"
	"time"

	"anvilcross/kernel/ident"
)

var testStart = time.Unix(1_700_000_000, 0)

func newListedDirectory(listings ...Listing) *Directory {
	d := NewDirectory()
	for _, l := range listings {
		d.Upsert(l)
	}
	return d
}

func wantCandidates(t *testing.T, d *Directory, now time.Time, want ...ident.Endpoint) {
	t.Helper()
	var names []ident.Endpoint
	for _, e := range d.Candidates(now, "s", nil) {
		names = append(names, e.Name)
	}
	if fmt.Sprint(names) != fmt.Sprint(want) {
		t.Fatalf("candidates are %v, want %v", names, want)
	}
}

// What a process has said is forgotten with its listing, or held against another process.
func TestLeavingIsOfAProcess(t *testing.T) {
	one := Listing{Name: "one", Service: "s", Address: "a:1", StartedUnixMillis: 1}
	two := Listing{Name: "two", Service: "s", Address: "b:1", StartedUnixMillis: 1}
	next := one
	next.StartedUnixMillis = 2
	t.Run("listed again", func(t *testing.T) {
		d := newListedDirectory(one, two)
		d.RecordLeaving(testStart, one.Process())
		wantCandidates(t, d, testStart, "two")
		d.Upsert(one)
		wantCandidates(t, d, testStart, "two")
		d.Remove(testStart, "one", 0)
		d.ExpireStatements(testStart.Add(time.Minute))
		d.Upsert(one)
		wantCandidates(t, d, testStart, "two")
	})
	t.Run("at another address", func(t *testing.T) {
		d := newListedDirectory(one, two)
		d.RecordLeaving(testStart, one.Process())
		moved := one
		moved.Address = "c:1"
		d.Upsert(moved)
		wantCandidates(t, d, testStart, "two")
	})
	t.Run("another process", func(t *testing.T) {
		d := newListedDirectory(one, two)
		d.RecordLeaving(testStart, one.Process())
		d.Upsert(next)
		wantCandidates(t, d, testStart, "one", "two")
		if d.RecordLeaving(testStart, one.Process()) {
			t.Fatal("what the earlier process said is news again")
		}
		wantCandidates(t, d, testStart, "one", "two")
	})
	t.Run("told before it is listed", func(t *testing.T) {
		d := newListedDirectory(two)
		d.RecordLeaving(testStart, one.Process())
		d.Upsert(one)
		wantCandidates(t, d, testStart, "two")
	})
	t.Run("forgotten long after it was listed", func(t *testing.T) {
		d := newListedDirectory(one, two)
		d.RecordLeaving(testStart, one.Process())
		d.ExpireStatements(testStart.Add(time.Hour))
		wantCandidates(t, d, testStart, "two")
		d.Remove(testStart, "one", 0)
		d.ExpireStatements(testStart.Add(time.Hour + 2*noticeRetention))
		if len(d.statements) > 0 {
			t.Fatal("what an endpoint said is kept for good")
		}
	})
	t.Run("removed during an outage of the platform", func(t *testing.T) {
		d := newListedDirectory(one, two)
		d.RecordLeaving(testStart, one.Process())
		d.Remove(testStart, "one", time.Second)
		if d.Lookup("one") != nil {
			t.Fatal("an endpoint that has said that it leaves is kept")
		}
	})
}

// A ping names more endpoints than it may, or not those that are news.
func TestSaidToLeave(t *testing.T) {
	d := NewDirectory()
	for n := range 5 {
		l := Listing{Name: ident.Endpoint(fmt.Sprint("e", n)), Service: "s", Address: fmt.Sprint("a:", n)}
		d.Upsert(l)
		d.RecordLeaving(testStart.Add(time.Duration(n)*time.Second), l.Process())
	}
	if got := d.SaidToLeave(2); len(got) != 2 || got[0].Endpoint != "e4" || got[1].Endpoint != "e3" {
		t.Fatalf("got %v, want e4 and e3", got)
	}
	d.Upsert(Listing{Name: "e4", Service: "s", Address: "a:4", Leaving: true})
	if got := d.SaidToLeave(9); len(got) != 4 {
		t.Fatalf("got %v, want those whose listing does not tell it", got)
	}
}
